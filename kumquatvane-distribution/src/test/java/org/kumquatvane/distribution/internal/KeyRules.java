package org.kumquatvane.distribution.internal;

import java.util.Optional;
import org.kumquatvane.distribution.ItemRules;
import org.kumquatvane.distribution.WriterOrder;

/** Keeps all values; the first byte of a value is its order. */
record KeyRules(String essentialKey) implements ItemRules {
  @Override
  public Optional<byte[]> reduce(String key, byte[] value) {
    return Optional.of(value);
  }

  @Override
  public boolean isEssential(String key) {
    return key.equals(essentialKey);
  }

  @Override
  public Optional<WriterOrder> writerOrder(String key, byte[] value) {
    return value.length == 0 ? Optional.empty() : Optional.of(new WriterOrder(value[0], 0, 0));
  }
}

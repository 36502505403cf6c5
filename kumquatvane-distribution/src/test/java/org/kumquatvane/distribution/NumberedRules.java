package org.kumquatvane.distribution;

import java.nio.charset.StandardCharsets;
import java.util.Optional;

/** Values are numbers that their writer raises; the configuration is essential. */
final class NumberedRules implements ItemRules {
  static final String CONFIGURATION = "config";

  static long number(String value) {
    return value.chars().allMatch(Character::isDigit) && !value.isEmpty() && value.length() < 18
        ? Long.parseLong(value)
        : 0;
  }

  @Override
  public Optional<byte[]> reduce(String key, byte[] value) {
    return Optional.of(value);
  }

  @Override
  public boolean isEssential(String key) {
    return key.equals(CONFIGURATION);
  }

  @Override
  public Optional<WriterOrder> writerOrder(String key, byte[] value) {
    return Optional.of(new WriterOrder(number(new String(value, StandardCharsets.UTF_8)), 0, 0));
  }
}

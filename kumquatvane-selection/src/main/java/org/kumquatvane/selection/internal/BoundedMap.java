package org.kumquatvane.selection.internal;

import java.util.LinkedHashMap;
import java.util.Map;

/** Map that drops its eldest entry beyond a maximum size. */
final class BoundedMap<K, V> extends LinkedHashMap<K, V> {
  private static final long serialVersionUID = 1L;

  private final int maximumSize;

  BoundedMap(int maximumSize) {
    this.maximumSize = maximumSize;
  }

  @Override
  protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
    return size() > maximumSize;
  }
}

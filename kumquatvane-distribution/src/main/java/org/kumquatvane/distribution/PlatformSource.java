package org.kumquatvane.distribution;

import java.util.function.Consumer;

/** The platform's configuration service and VM list. Each call gives exactly one answer. */
public interface PlatformSource {
  /**
   * Reads or watches a value.
   *
   * @param name name of the value
   * @param options how to wait
   * @param onResponse receives the answer on any thread, outside all locks
   */
  void fetchValue(String name, WatchOptions options, Consumer<ValueResponse> onResponse);

  /**
   * Reads or watches the VM list.
   *
   * @param options how to wait
   * @param onResponse receives the answer on any thread, outside all locks
   */
  void fetchVmList(WatchOptions options, Consumer<VmListResponse> onResponse);
}

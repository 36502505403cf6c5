package org.kumquatvane.distribution;

import java.util.function.Consumer;

/** The platform's configuration service and VM list. Each call yields exactly one response. */
public interface PlatformSource {
  /**
   * Reads or watches a value.
   *
   * @param name name of the value
   * @param options version and wait time of the watch
   * @param onResponse receives the response on any thread, without any lock
   */
  void fetchValue(String name, WatchOptions options, Consumer<ValueResponse> onResponse);

  /**
   * Reads or watches the VM list.
   *
   * @param options version and wait time of the watch
   * @param onResponse receives the response on any thread, without any lock
   */
  void fetchVmList(WatchOptions options, Consumer<VmListResponse> onResponse);
}

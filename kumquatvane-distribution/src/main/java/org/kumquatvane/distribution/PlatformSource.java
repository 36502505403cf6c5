package org.kumquatvane.distribution;

import java.util.function.Consumer;

/** The platform's configuration service and VM list. Each call gives exactly one answer. */
public interface PlatformSource {
  /**
   * Reads or watches a value.
   *
   * @param name name of the value
   * @param watch how to wait
   * @param answer receives the answer on any thread, outside all locks
   */
  void value(String name, SourceWatch watch, Consumer<ValueAnswer> answer);

  /**
   * Reads or watches the VM list.
   *
   * @param watch how to wait
   * @param answer receives the answer on any thread, outside all locks
   */
  void vmList(SourceWatch watch, Consumer<VmListAnswer> answer);
}

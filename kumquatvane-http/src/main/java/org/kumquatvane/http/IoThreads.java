package org.kumquatvane.http;

import io.servicetalk.transport.api.IoExecutor;
import io.servicetalk.transport.netty.internal.NettyIoExecutors;

/** Threads for input and output that all listeners and clients of a process share. */
public final class IoThreads {
  private IoThreads() {}

  /**
   * Creates the threads.
   *
   * @param count their number; one serves a VM with a part of a core
   * @return the threads
   */
  public static IoExecutor create(int count) {
    return NettyIoExecutors.createIoExecutor(count, "io");
  }
}

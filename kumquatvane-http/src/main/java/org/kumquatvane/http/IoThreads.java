package org.kumquatvane.http;

import io.servicetalk.concurrent.api.AsyncContext;
import io.servicetalk.transport.api.IoExecutor;
import io.servicetalk.transport.netty.internal.NettyIoExecutors;

/** Creates the I/O threads that all listeners and clients of a process share. */
public final class IoThreads {
  private IoThreads() {}

  /**
   * Creates the threads.
   *
   * @param count number of threads; one is enough for a VM with a fraction of a core
   * @return the threads
   */
  public static IoExecutor create(int count) {
    // No component uses the context, and its propagation wraps each step of a request.
    AsyncContext.disable();
    return NettyIoExecutors.createIoExecutor(count, "io");
  }
}

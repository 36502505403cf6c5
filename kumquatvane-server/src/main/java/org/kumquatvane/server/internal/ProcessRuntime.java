package org.kumquatvane.server.internal;

import com.codahale.metrics.MetricRegistry;
import org.kumquatvane.core.Clock;
import org.kumquatvane.core.Counters;
import org.kumquatvane.core.EventLog;
import org.kumquatvane.core.FixedWorkerPool;
import org.kumquatvane.core.InvariantMonitor;
import org.kumquatvane.core.Scheduler;
import org.kumquatvane.core.SystemClock;
import org.kumquatvane.core.TimerScheduler;
import org.kumquatvane.core.WorkerPool;
import org.kumquatvane.settings.Settings;
import org.kumquatvane.telemetry.CountingInvariantMonitor;
import org.kumquatvane.telemetry.MetricCounters;

/** Threads, clock and telemetry that all components of a process share. */
public final class ProcessRuntime implements AutoCloseable {
  /**
   * Maximum number of new requests that wait for a worker: a few seconds of work for a small VM.
   */
  private static final int QUEUE_CAPACITY = 1_024;

  private final Clock clock = new SystemClock();
  private final MetricRegistry metrics = new MetricRegistry();
  private final Counters counters = new MetricCounters(metrics);
  private final EventLog eventLog;
  private final InvariantMonitor monitor;
  private final FixedWorkerPool workers;
  private final TimerScheduler scheduler;

  /**
   * Starts the threads.
   *
   * @param settings settings of the worker pool
   * @param eventLog receives events
   */
  public ProcessRuntime(Settings settings, EventLog eventLog) {
    this(settings.workerPool().threads(), settings.workerPool().queueCapacity(), eventLog);
  }

  /**
   * Starts the threads, with the default queue capacity.
   *
   * @param threads number of worker threads
   * @param eventLog receives events
   */
  public ProcessRuntime(int threads, EventLog eventLog) {
    this(threads, QUEUE_CAPACITY, eventLog);
  }

  private ProcessRuntime(int threads, int queueCapacity, EventLog eventLog) {
    this.eventLog = eventLog;
    monitor = new CountingInvariantMonitor(counters, eventLog);
    workers = new FixedWorkerPool("worker", threads, queueCapacity, eventLog);
    scheduler = new TimerScheduler(clock, workers);
  }

  /**
   * Returns the clock.
   *
   * @return the clock of all deadlines
   */
  public Clock clock() {
    return clock;
  }

  /**
   * Returns the metrics.
   *
   * @return the registry of all metrics
   */
  public MetricRegistry metrics() {
    return metrics;
  }

  /**
   * Returns the counters.
   *
   * @return counters in the registry
   */
  public Counters counters() {
    return counters;
  }

  /**
   * Returns the event log.
   *
   * @return the log
   */
  public EventLog eventLog() {
    return eventLog;
  }

  /**
   * Returns the monitor.
   *
   * @return records invariant violations
   */
  public InvariantMonitor monitor() {
    return monitor;
  }

  /**
   * Returns the worker pool.
   *
   * @return the pool that runs the tasks of the engine
   */
  public WorkerPool workers() {
    return workers;
  }

  /**
   * Returns the scheduler.
   *
   * @return runs tasks at deadlines
   */
  public Scheduler scheduler() {
    return scheduler;
  }

  @Override
  public void close() {
    scheduler.close();
    workers.close();
  }
}

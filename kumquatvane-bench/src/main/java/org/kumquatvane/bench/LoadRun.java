package org.kumquatvane.bench;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.HdrHistogram.Histogram;

/**
 * Load over several connections for a fixed time.
 *
 * @param port port on 127.0.0.1
 * @param key caller's key
 * @param connections connections, each with one request at a time
 * @param duration length of the run
 */
record LoadRun(int port, String key, int connections, Duration duration) {
  private static final long MAXIMUM_LATENCY_NANOS = TimeUnit.SECONDS.toNanos(60);
  private static final int SIGNIFICANT_DIGITS = 3;
  private static final int OK = 200;

  /**
   * Measurements of one run.
   *
   * @param latency latencies in nanoseconds, from the planned start of each request
   * @param succeeded responses with status 200
   * @param failed other responses and broken connections
   * @param seconds length of the run
   */
  record Result(Histogram latency, long succeeded, long failed, double seconds) {
    double successesPerSecond() {
      return succeeded / seconds;
    }

    double latencyMillis(double percentile) {
      return latency.getValueAtPercentile(percentile) / 1e6;
    }
  }

  /**
   * Sends requests at a fixed rate; latency counts from the planned start, so that the delay of a
   * late start is included.
   */
  Result atRate(double perSecond) throws InterruptedException, ExecutionException {
    return run((long) (connections * 1e9 / perSecond));
  }

  /** Sends requests without a pause on each connection. */
  Result saturated() throws InterruptedException, ExecutionException {
    return run(0);
  }

  private Result run(long intervalNanos) throws InterruptedException, ExecutionException {
    ExecutorService threads = Executors.newFixedThreadPool(connections);
    try {
      long start = System.nanoTime();
      List<Future<Result>> parts = new ArrayList<>();
      for (int i = 0; i < connections; i++) {
        // Connections start evenly spread over the interval.
        long offset = intervalNanos * i / connections;
        parts.add(threads.submit(() -> runConnection(start + offset, intervalNanos)));
      }
      Histogram latency = new Histogram(MAXIMUM_LATENCY_NANOS, SIGNIFICANT_DIGITS);
      long succeeded = 0;
      long failed = 0;
      for (Future<Result> part : parts) {
        Result result = part.get();
        latency.add(result.latency());
        succeeded += result.succeeded();
        failed += result.failed();
      }
      return new Result(latency, succeeded, failed, (System.nanoTime() - start) / 1e9);
    } finally {
      threads.shutdownNow();
    }
  }

  private Result runConnection(long firstStart, long intervalNanos) throws IOException {
    Histogram latency = new Histogram(MAXIMUM_LATENCY_NANOS, SIGNIFICANT_DIGITS);
    long succeeded = 0;
    long failed = 0;
    long end = firstStart + duration.toNanos();
    try (LoadConnection connection = new LoadConnection(port, key)) {
      long planned = firstStart;
      while (planned < end && System.nanoTime() < end) {
        for (long left = planned - System.nanoTime();
            left > 0;
            left = planned - System.nanoTime()) {
          LockSupport.parkNanos(left);
        }
        int status = connection.sendRequest();
        long now = System.nanoTime();
        latency.recordValue(Math.min(MAXIMUM_LATENCY_NANOS, now - planned));
        if (status == OK) {
          succeeded++;
        } else {
          failed++;
        }
        planned = intervalNanos == 0 ? now : planned + intervalNanos;
      }
    } catch (IOException e) {
      failed++;
    }
    return new Result(latency, succeeded, failed, 0);
  }
}

package org.kumquatvane.telemetry;

import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import org.jspecify.annotations.Nullable;

/**
 * Log handler that never blocks the logging thread: lines are added to a bounded queue and written
 * by a separate thread. Lines are dropped when the queue is full or the rate limit is exceeded, and
 * the number of dropped lines is logged.
 */
final class BoundedLineHandler extends Handler {
  /** Maximum number of queued lines; sufficient for a burst of one second. */
  private static final int QUEUE_CAPACITY_LINES = 1_024;

  /** Maximum write rate; allows ten lines per request on a busy small VM. */
  private static final int MAXIMUM_LINES_PER_SECOND = 500;

  private static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);
  private static final long CLOSE_MILLIS = 500;

  /** Wakes the writer when the handler is closed; not written. */
  private static final String END = "";

  private final BlockingQueue<String> lines = new ArrayBlockingQueue<>(QUEUE_CAPACITY_LINES);
  private final AtomicLong dropped = new AtomicLong();
  private final PrintStream output;
  private final Thread writer;
  private volatile boolean closed;
  private long windowStartNanos = System.nanoTime();
  private int linesInWindow;

  BoundedLineHandler(OutputStream output) {
    this.output = new PrintStream(output, false, StandardCharsets.UTF_8);
    writer = new Thread(this::writeLines, "log");
    writer.setDaemon(true);
    writer.start();
  }

  @Override
  public void publish(@Nullable LogRecord record) {
    if (record == null || !isLoggable(record)) {
      return;
    }
    if (!lines.offer(getFormatter().format(record))) {
      dropped.incrementAndGet();
    }
  }

  private void writeLines() {
    try {
      while (!closed || !lines.isEmpty()) {
        String line = lines.poll(1, TimeUnit.SECONDS);
        if (line != null && !line.equals(END)) {
          write(line);
        }
        if (lines.isEmpty()) {
          output.flush();
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    output.flush();
  }

  private void write(String line) {
    long now = System.nanoTime();
    if (now - windowStartNanos >= SECOND_NANOS) {
      windowStartNanos = now;
      linesInWindow = 0;
      long missing = dropped.getAndSet(0);
      if (missing > 0) {
        output.print("event=log_lines_dropped count=" + missing + System.lineSeparator());
      }
    }
    if (linesInWindow < MAXIMUM_LINES_PER_SECOND) {
      linesInWindow++;
      output.print(line);
    } else {
      dropped.incrementAndGet();
    }
  }

  @Override
  public void flush() {
    // The writer thread flushes whenever the queue is empty.
  }

  Thread writer() {
    return writer;
  }

  @Override
  public void close() {
    closed = true;
    // Without room for it the writer is not waiting.
    boolean unused = lines.offer(END);
    try {
      writer.join(CLOSE_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}

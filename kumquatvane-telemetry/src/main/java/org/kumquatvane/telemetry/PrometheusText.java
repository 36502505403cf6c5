package org.kumquatvane.telemetry;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import com.codahale.metrics.Timer;
import java.util.Map;

/** Writes a Dropwizard registry in the Prometheus text format, version 0.0.4. */
public final class PrometheusText {
  /** Media type of the text. */
  public static final String CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8";

  private static final String PREFIX = "kumquatvane_";
  private static final double NANOS_PER_SECOND = 1e9;
  private static final double[] QUANTILES = {0.5, 0.9, 0.99, 0.999};

  private PrometheusText() {}

  /**
   * Writes all metrics, sorted by name within each type.
   *
   * @param registry the metrics
   * @return the text
   */
  public static String write(MetricRegistry registry) {
    StringBuilder text = new StringBuilder();
    for (Map.Entry<String, Counter> entry : registry.getCounters().entrySet()) {
      String name = name(entry.getKey()) + "_total";
      line(
          text.append("# TYPE ").append(name).append(" counter\n"),
          name,
          entry.getValue().getCount());
    }
    registry.getGauges().forEach((name, gauge) -> gauge(text, name(name), gauge));
    for (Map.Entry<String, Histogram> entry : registry.getHistograms().entrySet()) {
      Histogram histogram = entry.getValue();
      summary(text, name(entry.getKey()), histogram.getSnapshot(), histogram.getCount(), 1);
    }
    for (Map.Entry<String, Timer> entry : registry.getTimers().entrySet()) {
      Timer timer = entry.getValue();
      String name = name(entry.getKey()) + "_seconds";
      summary(text, name, timer.getSnapshot(), timer.getCount(), NANOS_PER_SECOND);
    }
    return text.toString();
  }

  private static void gauge(StringBuilder text, String name, Gauge<?> gauge) {
    if (gauge.getValue() instanceof Number number) {
      line(text.append("# TYPE ").append(name).append(" gauge\n"), name, number);
    }
  }

  private static void summary(
      StringBuilder text, String name, Snapshot snapshot, long count, double divisor) {
    text.append("# TYPE ").append(name).append(" summary\n");
    for (double quantile : QUANTILES) {
      String labelled = name + "{quantile=\"" + quantile + "\"}";
      line(text, labelled, snapshot.getValue(quantile) / divisor);
    }
    line(text, name + "_count", count);
  }

  private static void line(StringBuilder text, String name, Number value) {
    text.append(name).append(' ').append(value).append('\n');
  }

  private static String name(String metric) {
    return PREFIX + metric.replaceAll("[^A-Za-z0-9_]", "_");
  }
}

package org.kumquatvane.verification.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;

/** What instances received and wrote, by request id. */
final class ResponseRecords {
  private final Map<String, List<Arrival>> arrivals = new ConcurrentHashMap<>();
  private final Map<String, Arrival> responses = new ConcurrentHashMap<>();
  private final Map<String, String> secondResponses = new ConcurrentHashMap<>();
  private final Map<String, List<String>> connections = new ConcurrentHashMap<>();
  private final AtomicInteger secondsWritten = new AtomicInteger();
  private final AtomicInteger repeatsOnConnection = new AtomicInteger();

  /** One request at an instance, and its response once that is decided. */
  static final class Arrival {
    private final String id;
    private final String connection;
    private final int sequence;
    private final boolean isRepeatOnConnection;
    private final String cutBefore;
    private volatile boolean hasRun;
    private volatile int status;
    private volatile BodyDigest body = BodyDigest.of(new byte[0]);
    private volatile boolean isInterrupted;

    private Arrival(
        String id,
        String connection,
        int sequence,
        boolean isRepeatOnConnection,
        String cutBefore) {
      this.cutBefore = cutBefore;
      this.id = id;
      this.connection = connection;
      this.sequence = sequence;
      this.isRepeatOnConnection = isRepeatOnConnection;
    }

    String id() {
      return id;
    }

    String connection() {
      return connection;
    }

    boolean isRepeatOnConnection() {
      return isRepeatOnConnection;
    }

    boolean hasRun() {
      return hasRun;
    }

    /** Records that the instance began to work on the request, whatever becomes of its response. */
    void markRun() {
      hasRun = true;
    }

    /** Describes a second response that the instance cut off before, or empty. */
    String cutBefore() {
      return cutBefore;
    }

    int status() {
      return status;
    }

    BodyDigest body() {
      return body;
    }

    /** Returns whether the instance itself wrote other bytes between the head and the body. */
    boolean isInterrupted() {
      return isInterrupted;
    }

    void markInterrupted() {
      isInterrupted = true;
    }

    @Override
    public String toString() {
      return connection
          + "#"
          + sequence
          + " status="
          + status
          + " run="
          + hasRun
          + " repeatOnConnection="
          + isRepeatOnConnection
          + " interrupted="
          + isInterrupted;
    }
  }

  Arrival addArrival(String id, String connection, int sequence, String cutBefore) {
    List<Arrival> ofRequest = arrivals.computeIfAbsent(id, unused -> new CopyOnWriteArrayList<>());
    boolean isRepeat = ofRequest.stream().anyMatch(other -> other.connection.equals(connection));
    if (isRepeat) {
      repeatsOnConnection.incrementAndGet();
    }
    Arrival arrival = new Arrival(id, connection, sequence, isRepeat, cutBefore);
    ofRequest.add(arrival);
    return arrival;
  }

  /** Records the response to a request; called before its first byte is written. */
  void decideResponse(Arrival arrival, PlannedResponse response) {
    arrival.status = response.status();
    arrival.body = BodyDigest.of(response.body());
    responses.put(response.signature(), arrival);
    logOnConnection(arrival.connection, arrival.id + " first " + response);
  }

  /** Records a second response whose status and body differ from the first. */
  void addAlteredSecond(Arrival arrival, PlannedResponse second) {
    secondResponses.put(second.signature(), arrival.id);
  }

  void countSecond(String connection, String description) {
    secondsWritten.incrementAndGet();
    logOnConnection(connection, description);
  }

  private void logOnConnection(String connection, String event) {
    List<String> events = connections.computeIfAbsent(connection, unused -> new ArrayList<>());
    synchronized (events) {
      events.add(System.currentTimeMillis() + " " + event);
    }
  }

  List<Arrival> arrivals(String id) {
    return arrivals.getOrDefault(id, List.of());
  }

  Map<String, Arrival> responses() {
    return responses;
  }

  boolean isAlteredSecond(String signature) {
    return secondResponses.containsKey(signature);
  }

  int arrivalCount() {
    return arrivals.values().stream().mapToInt(List::size).sum();
  }

  int secondsWritten() {
    return secondsWritten.get();
  }

  int repeatsOnConnection() {
    return repeatsOnConnection.get();
  }

  /** Describes a request's arrivals and all that was written on their connections. */
  String trace(String id) {
    return arrivals(id).stream()
        .map(arrival -> arrival + "\n" + events(arrival.connection))
        .collect(Collectors.joining("\n"));
  }

  private String events(String connection) {
    List<String> events = connections.getOrDefault(connection, List.of());
    synchronized (events) {
      return events.stream().map(event -> "    " + event).collect(Collectors.joining("\n"));
    }
  }
}

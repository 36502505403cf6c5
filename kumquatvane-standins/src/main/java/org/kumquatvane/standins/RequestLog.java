package org.kumquatvane.standins;

import com.fasterxml.jackson.core.JsonGenerator;
import io.servicetalk.http.api.HttpHeaders;
import io.servicetalk.http.api.HttpRequest;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.kumquatvane.standins.ReceivedRequest.Outcome;

/** The most recent requests that one backend-server stand-in received, up to a maximum number. */
final class RequestLog {
  private static final int MAXIMUM_ENTRIES = 200_000;

  // Prefix of every caller's key.
  private static final String KEY_PREFIX = "kv1_";

  private final LinkedHashMap<Long, ReceivedRequest> entries =
      new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, ReceivedRequest> eldest) {
          return size() > MAXIMUM_ENTRIES;
        }
      };
  private long sequence;

  synchronized long recordArrival(HttpRequest request) {
    sequence++;
    CharSequence timeout = request.headers().get("kumquatvane-timeout-millis");
    entries.put(
        sequence,
        new ReceivedRequest(
            sequence,
            toStringOrNull(request.headers().get("kumquatvane-request-id")),
            toStringOrNull(request.headers().get("kumquatvane-workspace")),
            toStringOrNull(request.headers().get("idempotency-key")),
            request.method().name(),
            request.requestTarget(),
            timeout == null ? -1 : Long.parseLong(timeout.toString()),
            containsCallerKey(request.requestTarget())
                || containsCallerKey(request.headers())
                || containsCallerKey(request.trailers()),
            0,
            0,
            Outcome.WAITING));
    return sequence;
  }

  synchronized void recordStart(long entry) {
    entries.computeIfPresent(entry, (key, old) -> old.withStart(System.currentTimeMillis()));
  }

  /** Records the end of a request; a later call for the same request has no effect. */
  synchronized void recordEnd(long entry, Outcome outcome) {
    entries.computeIfPresent(
        entry,
        (key, old) ->
            old.endMillis() == 0 ? old.withEnd(System.currentTimeMillis(), outcome) : old);
  }

  synchronized List<ReceivedRequest> snapshot() {
    return new ArrayList<>(entries.values());
  }

  void writeTo(JsonGenerator json) throws IOException {
    json.writeStartArray();
    for (ReceivedRequest entry : snapshot()) {
      json.writeStartObject();
      json.writeNumberField("sequence", entry.sequence());
      json.writeStringField("requestId", entry.requestId());
      json.writeStringField("workspace", entry.workspace());
      json.writeStringField("idempotencyKey", entry.idempotencyKey());
      json.writeStringField("method", entry.method());
      json.writeStringField("target", entry.target());
      json.writeNumberField("timeoutMillis", entry.timeoutMillis());
      json.writeBooleanField("callerKeySeen", entry.callerKeySeen());
      json.writeNumberField("startMillis", entry.startMillis());
      json.writeNumberField("endMillis", entry.endMillis());
      json.writeStringField("outcome", entry.outcome().name());
      json.writeEndObject();
    }
    json.writeEndArray();
  }

  private static boolean containsCallerKey(HttpHeaders fields) {
    for (Map.Entry<CharSequence, CharSequence> field : fields) {
      if (containsCallerKey(field.getKey()) || containsCallerKey(field.getValue())) {
        return true;
      }
    }
    return false;
  }

  private static boolean containsCallerKey(CharSequence value) {
    return value.toString().contains(KEY_PREFIX);
  }

  private static @Nullable String toStringOrNull(@Nullable CharSequence value) {
    return value == null ? null : value.toString();
  }
}

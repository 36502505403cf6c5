package org.kumquatvane.http;

import io.servicetalk.http.api.HttpHeaders;
import io.servicetalk.http.api.HttpRequestMetaData;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Predicate;
import org.kumquatvane.engine.Refusal;
import org.kumquatvane.http.internal.BodyFraming;
import org.kumquatvane.http.internal.HeaderNames;
import org.kumquatvane.http.internal.RequestHeadReader;

/** Checks and helpers for message heads that all dialects share. */
public final class MessageHeads {
  private MessageHeads() {}

  /**
   * Checks the size and the framing of a request.
   *
   * @param request the head
   * @param maximumBytes maximum size of the head
   * @return why it is refused, or empty
   */
  public static Optional<Refusal> check(HttpRequestMetaData request, int maximumBytes) {
    return RequestHeadReader.checkSize(request, maximumBytes)
        .or(() -> RequestHeadReader.checkFraming(request));
  }

  /**
   * Returns the value of a field that must occur exactly once.
   *
   * @param headers the fields
   * @param name name of the field
   * @return the value; empty if the field is absent or repeated
   */
  public static Optional<String> singleValue(HttpHeaders headers, CharSequence name) {
    Iterator<? extends CharSequence> values = headers.valuesIterator(name);
    if (!values.hasNext()) {
      return Optional.empty();
    }
    String value = values.next().toString().trim();
    return values.hasNext() ? Optional.empty() : Optional.of(value);
  }

  /**
   * Parses a decimal number without a sign.
   *
   * @param text the text
   * @return the number, or empty
   */
  public static OptionalLong parseDecimal(String text) {
    long number = BodyFraming.parseDecimal(text);
    return number < 0 ? OptionalLong.empty() : OptionalLong.of(number);
  }

  /**
   * Returns whether a field is hop-by-hop.
   *
   * @param lowerCase field name in lower case
   * @return whether the field must not be forwarded
   */
  public static boolean isHopByHop(String lowerCase) {
    return HeaderNames.isHopByHop(lowerCase);
  }

  /**
   * Copies header fields from one message to another, with their names in lower case.
   *
   * @param from the header fields to copy
   * @param target receives the forwarded fields
   * @param isForwarded selects the fields to forward by their lower-case names
   */
  public static void copy(HttpHeaders from, HttpHeaders target, Predicate<String> isForwarded) {
    for (Map.Entry<CharSequence, CharSequence> field : from) {
      String name = HeaderNames.lowerCase(field.getKey());
      if (isForwarded.test(name)) {
        target.add(name, field.getValue());
      }
    }
  }
}

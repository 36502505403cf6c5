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

/** What every dialect has to check in the head of a message. */
public final class MessageHeads {
  private MessageHeads() {}

  /**
   * Checks size and framing of a request.
   *
   * @param request the head
   * @param maximumBytes longest head
   * @return why it is refused, or empty
   */
  public static Optional<Refusal> check(HttpRequestMetaData request, int maximumBytes) {
    return RequestHeadReader.checkSize(request, maximumBytes)
        .or(() -> RequestHeadReader.checkFraming(request));
  }

  /**
   * Returns the value of a field that must be sent once.
   *
   * @param headers the fields
   * @param name name of the field
   * @return the value; empty if the field is absent or doubled
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
   * Reads a decimal number of digits only.
   *
   * @param text the text
   * @return the number, or empty
   */
  public static OptionalLong parseDecimal(String text) {
    long number = BodyFraming.parseDecimal(text);
    return number < 0 ? OptionalLong.empty() : OptionalLong.of(number);
  }

  /**
   * Tells whether a field describes one connection only.
   *
   * @param lowerCase name in lower case
   * @return whether it is never passed on
   */
  public static boolean isHopByHop(String lowerCase) {
    return HeaderNames.isHopByHop(lowerCase);
  }

  /**
   * Adds fields of one message to another, with their names in lower case.
   *
   * @param from the fields
   * @param target gets those that are passed on
   * @param isForwarded decides by the name in lower case
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

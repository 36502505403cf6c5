package org.kumquatvane.http;

import io.servicetalk.http.api.HttpHeaders;
import io.servicetalk.http.api.HttpRequestMetaData;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Predicate;
import org.kumquatvane.engine.Refusal;
import org.kumquatvane.http.internal.Bodies;
import org.kumquatvane.http.internal.HeadReader;
import org.kumquatvane.http.internal.HeaderNames;

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
    return HeadReader.checkSize(request, maximumBytes).or(() -> HeadReader.checkFraming(request));
  }

  /**
   * Returns the value of a field that must be sent once.
   *
   * @param headers the fields
   * @param name name of the field
   * @return the value; empty if the field is absent or doubled
   */
  public static Optional<String> only(HttpHeaders headers, CharSequence name) {
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
  public static OptionalLong decimal(String text) {
    long number = Bodies.decimal(text);
    return number < 0 ? OptionalLong.empty() : OptionalLong.of(number);
  }

  /**
   * Tells whether a field describes one connection only.
   *
   * @param lowerCase name in lower case
   * @return whether it is never passed on
   */
  public static boolean isOfConnection(String lowerCase) {
    return HeaderNames.isHopByHop(lowerCase);
  }

  /**
   * Adds fields of one message to another, with their names in lower case.
   *
   * @param from the fields
   * @param receiver gets those that are passed on
   * @param isPassedOn decides by the name in lower case
   */
  public static void copy(HttpHeaders from, HttpHeaders receiver, Predicate<String> isPassedOn) {
    for (Map.Entry<CharSequence, CharSequence> field : from) {
      String name = HeaderNames.lowerCase(field.getKey());
      if (isPassedOn.test(name)) {
        receiver.add(name, field.getValue());
      }
    }
  }
}

package org.kumquatvane.json;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonFactoryBuilder;
import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.exc.StreamConstraintsException;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.CharBuffer;
import java.nio.charset.CharsetDecoder;
import java.nio.charset.CoderResult;
import java.nio.charset.CodingErrorAction;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.kumquatvane.json.JsonValue.JsonArray;
import org.kumquatvane.json.JsonValue.JsonBoolean;
import org.kumquatvane.json.JsonValue.JsonNull;
import org.kumquatvane.json.JsonValue.JsonNumber;
import org.kumquatvane.json.JsonValue.JsonObject;
import org.kumquatvane.json.JsonValue.JsonString;

/**
 * Reads UTF-8 JSON with {@code //} and {@code /* *}{@code /} comments into a tree of located
 * values.
 *
 * <p>Any other deviation from RFC 8259 is a fault. Reading continues after a duplicate name and
 * ends at a syntax error.
 */
public final class JsonReader {
  /** Maximum length of a number as written, in characters. */
  static final int MAXIMUM_NUMBER_LENGTH = 100;

  private static final String SYNTAX_REMEDY =
      "correct the syntax here; what follows was not checked";

  private final JsonLimits limits;
  private final JsonFactory factory;

  /**
   * Creates a reader.
   *
   * @param limits limits of each input
   */
  public JsonReader(JsonLimits limits) {
    this.limits = limits;
    this.factory =
        new JsonFactoryBuilder()
            .streamReadConstraints(
                StreamReadConstraints.builder()
                    .maxNestingDepth(limits.maximumDepth())
                    .maxStringLength(limits.maximumStringLength())
                    .maxNameLength(limits.maximumStringLength())
                    .maxNumberLength(MAXIMUM_NUMBER_LENGTH)
                    .build())
            .configure(JsonReadFeature.ALLOW_JAVA_COMMENTS, true)
            // Interned names of untrusted inputs could stay in memory for the life of the process.
            .configure(JsonFactory.Feature.INTERN_FIELD_NAMES, false)
            .build();
  }

  /**
   * Reads one input.
   *
   * @param source name of the file or platform value, for messages
   * @param bytes the input
   * @param faults receives the faults found
   * @return the root, or empty if no complete value could be read
   */
  public Optional<JsonValue> read(String source, byte[] bytes, FaultCollector faults) {
    SourceLocation start = new SourceLocation(source, 1, 1, JsonPath.ROOT);
    if (bytes.length > limits.maximumBytes()) {
      faults.add(
          start,
          "the input has " + bytes.length + " bytes, more than " + limits.maximumBytes(),
          "split it or remove what is not needed");
      return Optional.empty();
    }
    Optional<CharBuffer> decoded = decode(source, bytes, faults);
    if (decoded.isEmpty()) {
      return Optional.empty();
    }
    CharBuffer text = decoded.get();
    if (text.length() > 0 && text.charAt(0) == '\uFEFF') {
      faults.add(start, "the input starts with a byte order mark", "save it as plain UTF-8");
      return Optional.empty();
    }
    try (JsonParser parser = factory.createParser(text.array(), 0, text.length())) {
      return new TreeReader(source, parser, limits.maximumValues(), faults).readRoot();
    } catch (IOException e) {
      throw new UncheckedIOException("reading from memory performs no I/O", e);
    }
  }

  private static Optional<CharBuffer> decode(String source, byte[] bytes, FaultCollector faults) {
    CharsetDecoder decoder =
        StandardCharsets.UTF_8
            .newDecoder()
            .onMalformedInput(CodingErrorAction.REPORT)
            .onUnmappableCharacter(CodingErrorAction.REPORT);
    ByteBuffer input = ByteBuffer.wrap(bytes);
    // UTF-8 never yields more code units than bytes.
    CharBuffer output = CharBuffer.allocate(bytes.length);
    CoderResult result = decoder.decode(input, output, true);
    output.flip();
    if (!result.isError()) {
      return Optional.of(output);
    }
    int line = 1;
    int column = 1;
    for (int i = 0; i < output.length(); i++) {
      boolean lineEnd = output.charAt(i) == '\n';
      line += lineEnd ? 1 : 0;
      column = lineEnd ? 1 : column + 1;
    }
    faults.add(
        new SourceLocation(source, line, column, JsonPath.ROOT),
        "the input is not valid UTF-8 here",
        "save the input as UTF-8");
    return Optional.empty();
  }

  /** Builds the tree of one input in a single pass. */
  private static final class TreeReader {
    private final String source;
    private final JsonParser parser;
    private final int maximumValues;
    private final FaultCollector faults;
    private int values;

    private TreeReader(String source, JsonParser parser, int maximumValues, FaultCollector faults) {
      this.source = source;
      this.parser = parser;
      this.maximumValues = maximumValues;
      this.faults = faults;
    }

    private Optional<JsonValue> readRoot() throws IOException {
      try {
        JsonToken first = parser.nextToken();
        if (first == null) {
          faults.add(
              new SourceLocation(source, 1, 1, JsonPath.ROOT),
              "the input is empty",
              "write one object");
          return Optional.empty();
        }
        JsonValue root = read(first, JsonPath.ROOT);
        if (parser.nextToken() != null) {
          faults.add(
              toSourceLocation(parser.currentTokenLocation(), JsonPath.ROOT),
              "there is more after the end of the value",
              "remove what follows");
        }
        return Optional.of(root);
      } catch (JsonProcessingException e) {
        JsonLocation location = e.getLocation();
        faults.add(
            toSourceLocation(location == null ? parser.currentLocation() : location, JsonPath.ROOT),
            message(e),
            SYNTAX_REMEDY);
        return Optional.empty();
      }
    }

    private static String message(JsonProcessingException failure) {
      String original = failure.getOriginalMessage();
      // The library's message quotes the word, which may be a secret without quotation marks.
      return original.startsWith("Unrecognized token")
          ? "a word without quotation marks is not a value"
          : JsonPath.printable(original.lines().findFirst().orElse("syntax error"), 200);
    }

    private SourceLocation toSourceLocation(JsonLocation location, JsonPath path) {
      return new SourceLocation(
          source, Math.max(1, location.getLineNr()), Math.max(1, location.getColumnNr()), path);
    }

    /** Reads a value; the parser's nesting limit bounds the recursion. */
    private JsonValue read(JsonToken token, JsonPath path) throws IOException {
      if (++values > maximumValues) {
        throw new StreamConstraintsException(
            "the input has more than " + maximumValues + " values", parser.currentLocation());
      }
      JsonLocation location = parser.currentTokenLocation();
      int line = location.getLineNr();
      int column = location.getColumnNr();
      return switch (token) {
        case START_OBJECT -> readObject(line, column, path);
        case START_ARRAY -> readArray(line, column, path);
        case VALUE_STRING -> new JsonString(line, column, parser.getText());
        case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT -> new JsonNumber(line, column, parser.getText());
        case VALUE_TRUE -> new JsonBoolean(line, column, true);
        case VALUE_FALSE -> new JsonBoolean(line, column, false);
        case VALUE_NULL -> new JsonNull(line, column);
        default -> throw new IllegalStateException("the parser never yields " + token + " here");
      };
    }

    private JsonObject readObject(int line, int column, JsonPath path) throws IOException {
      List<JsonValue.Member> members = new ArrayList<>();
      Set<String> names = new HashSet<>();
      while (parser.nextToken() != JsonToken.END_OBJECT) {
        String name = parser.currentName();
        JsonPath memberPath = path.member(name);
        SourceLocation nameLocation = toSourceLocation(parser.currentTokenLocation(), memberPath);
        JsonValue value = read(parser.nextToken(), memberPath);
        if (names.add(name)) {
          members.add(new JsonValue.Member(name, value));
        } else {
          faults.add(
              nameLocation, "the name occurs twice in the same object", "remove one of the two");
        }
      }
      return new JsonObject(line, column, members);
    }

    private JsonArray readArray(int line, int column, JsonPath path) throws IOException {
      List<JsonValue> elements = new ArrayList<>();
      JsonToken token = parser.nextToken();
      while (token != JsonToken.END_ARRAY) {
        elements.add(read(token, path.element(elements.size())));
        token = parser.nextToken();
      }
      return new JsonArray(line, column, elements);
    }
  }
}

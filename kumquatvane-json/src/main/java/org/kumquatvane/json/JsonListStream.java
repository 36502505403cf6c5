package org.kumquatvane.json;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonFactoryBuilder;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.async.ByteArrayFeeder;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.kumquatvane.json.JsonValue.JsonArray;
import org.kumquatvane.json.JsonValue.JsonBoolean;
import org.kumquatvane.json.JsonValue.JsonNull;
import org.kumquatvane.json.JsonValue.JsonNumber;
import org.kumquatvane.json.JsonValue.JsonObject;
import org.kumquatvane.json.JsonValue.JsonString;

/**
 * Reads one large JSON object as its bytes arrive, with memory for no more than one element of its
 * list and for the members that were asked for.
 *
 * <p>Only members with a requested name are kept, of the object and of those elements of the list
 * that are objects themselves, and of objects and arrays among them only that they are there. All
 * other values are skipped, however large they are. If a name occurs twice in an object, the first
 * member counts. Positions of the values are not recorded. Not thread-safe.
 */
public final class JsonListStream {
  private static final int ROOT_DEPTH = 1;
  private static final int LIST_DEPTH = 2;
  private static final int ELEMENT_DEPTH = 3;

  private final JsonParser parser;
  private final ByteArrayFeeder feeder;
  private final String listName;
  private final Set<String> memberNames;
  private final Consumer<Optional<JsonObject>> onElement;
  private final Members root = new Members();
  private @Nullable Members element;
  private int depth;
  private boolean isInList;
  private boolean hasList;
  private boolean isComplete;
  private boolean isMalformed;

  /**
   * Creates a stream at the start of an input.
   *
   * @param limits depth and string length beyond which the input is malformed; the size of the
   *     input is not checked
   * @param listName name of the list of the root object
   * @param memberNames names of the members to keep, of the root and of the elements
   * @param onElement receives each element in order; empty if it is not an object
   */
  public JsonListStream(
      JsonLimits limits,
      String listName,
      Set<String> memberNames,
      Consumer<Optional<JsonObject>> onElement) {
    this.listName = listName;
    this.memberNames = Set.copyOf(memberNames);
    this.onElement = onElement;
    JsonFactory factory =
        new JsonFactoryBuilder()
            .streamReadConstraints(
                StreamReadConstraints.builder()
                    .maxNestingDepth(limits.maximumDepth())
                    .maxStringLength(limits.maximumStringLength())
                    .maxNameLength(limits.maximumStringLength())
                    .maxNumberLength(JsonReader.MAXIMUM_NUMBER_LENGTH)
                    .build())
            // Tables of names of untrusted inputs could stay in memory for the life of the process.
            .configure(JsonFactory.Feature.INTERN_FIELD_NAMES, false)
            .configure(JsonFactory.Feature.CANONICALIZE_FIELD_NAMES, false)
            .build();
    try {
      parser = factory.createNonBlockingByteArrayParser();
    } catch (IOException e) {
      throw new UncheckedIOException("reading from memory performs no I/O", e);
    }
    feeder = (ByteArrayFeeder) parser.getNonBlockingInputFeeder();
  }

  /**
   * Reads the next bytes. Bytes after a fault are ignored.
   *
   * @param bytes the bytes; not changed until the call returns
   */
  public void append(byte[] bytes) {
    if (isMalformed || bytes.length == 0) {
      return;
    }
    try {
      feeder.feedInput(bytes, 0, bytes.length);
      readTokens();
    } catch (IOException e) {
      isMalformed = true;
    }
  }

  /**
   * Ends the input.
   *
   * @return the kept members of the root object, or empty if the input was not one complete object
   */
  public Optional<JsonObject> finish() {
    if (!isMalformed) {
      feeder.endOfInput();
      try {
        readTokens();
      } catch (IOException e) {
        isMalformed = true;
      }
    }
    return isComplete && !isMalformed ? Optional.of(root.toObject()) : Optional.empty();
  }

  /**
   * Returns whether the root object had the list.
   *
   * @return whether a member with the list's name was a list
   */
  public boolean hasList() {
    return hasList;
  }

  private void readTokens() throws IOException {
    JsonToken token = parser.nextToken();
    while (token != null && token != JsonToken.NOT_AVAILABLE && !isMalformed) {
      handle(token);
      token = parser.nextToken();
    }
  }

  private void handle(JsonToken token) throws IOException {
    if (token.isStructStart()) {
      onStart(token);
    } else if (token.isStructEnd()) {
      onEnd();
    } else if (token.isScalarValue()) {
      onScalar(token);
    }
  }

  private void onStart(JsonToken token) throws IOException {
    if (depth == 0 && (isComplete || token != JsonToken.START_OBJECT)) {
      isMalformed = true;
    }
    if (depth == ROOT_DEPTH && token == JsonToken.START_ARRAY && !hasList && isList()) {
      isInList = true;
      hasList = true;
    } else if (depth == LIST_DEPTH && isInList) {
      if (token == JsonToken.START_OBJECT) {
        element = new Members();
      } else {
        onElement.accept(Optional.empty());
      }
    } else {
      addMember(token);
    }
    depth++;
  }

  private boolean isList() throws IOException {
    return listName.equals(parser.currentName());
  }

  private void onEnd() {
    depth--;
    Members ended = element;
    if (depth == 0) {
      isComplete = true;
    } else if (depth == ROOT_DEPTH) {
      isInList = false;
    } else if (depth == LIST_DEPTH && ended != null) {
      element = null;
      onElement.accept(Optional.of(ended.toObject()));
    }
  }

  private void onScalar(JsonToken token) throws IOException {
    if (depth == 0) {
      isMalformed = true;
    } else if (depth == LIST_DEPTH && isInList) {
      onElement.accept(Optional.empty());
    } else {
      addMember(token);
    }
  }

  private void addMember(JsonToken token) throws IOException {
    Members current = element;
    if (depth == ROOT_DEPTH) {
      root.add(token);
    } else if (depth == ELEMENT_DEPTH && current != null) {
      current.add(token);
    }
  }

  /** Members of an object that is being read. */
  private final class Members {
    private final List<JsonValue.Member> members = new ArrayList<>();
    private final Set<String> names = new HashSet<>();

    private void add(JsonToken token) throws IOException {
      String name = parser.currentName();
      if (memberNames.contains(name) && names.add(name)) {
        members.add(new JsonValue.Member(name, value(token)));
      }
    }

    private JsonValue value(JsonToken token) throws IOException {
      return switch (token) {
        case START_OBJECT -> new JsonObject(1, 1, List.of());
        case START_ARRAY -> new JsonArray(1, 1, List.of());
        case VALUE_STRING -> new JsonString(1, 1, parser.getText());
        case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT -> new JsonNumber(1, 1, parser.getText());
        case VALUE_TRUE -> new JsonBoolean(1, 1, true);
        case VALUE_FALSE -> new JsonBoolean(1, 1, false);
        default -> new JsonNull(1, 1);
      };
    }

    private JsonObject toObject() {
      return new JsonObject(1, 1, List.copyOf(members));
    }
  }
}

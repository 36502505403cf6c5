package org.kumquatvane.documents;

import java.util.List;
import java.util.Optional;
import org.kumquatvane.core.Sha256;
import org.kumquatvane.document.FleetPolicy;
import org.kumquatvane.document.LimitMechanism;
import org.kumquatvane.documents.internal.DocumentBuilder;
import org.kumquatvane.json.FaultCollector;
import org.kumquatvane.json.JsonLimits;
import org.kumquatvane.json.JsonReader;
import org.kumquatvane.json.JsonValue;
import org.kumquatvane.json.ObjectReader;
import org.kumquatvane.json.StringFormat;

/**
 * Parses configuration documents.
 *
 * <p>A document contains no addresses, so the same bytes are valid in test and in production. A
 * document that does not fit into one platform value references fragments by name and digest, so
 * that the digest of the main bytes covers the whole document.
 */
public final class DocumentParser {
  /** Largest integer that a double represents exactly, and so every JSON tool preserves. */
  public static final long MAXIMUM_GENERATION = 9_007_199_254_740_991L;

  /**
   * Maximum number of fragments of one document. 1 million workspaces of about 150 bytes and
   * 200,000 routes of about 250 bytes fill about 200 values of one megabyte.
   */
  public static final int MAXIMUM_FRAGMENTS = 512;

  private static final int MAXIMUM_VM_COUNT = 10_000;
  private static final String FRAGMENTS = "fragments";

  private final JsonReader reader = new JsonReader(JsonLimits.STANDARD);

  /**
   * Parses a document.
   *
   * @param source name of the file or platform value, used in messages
   * @param bytes the main bytes
   * @param fragments returns the bytes of the referenced fragments
   * @return the document, or all faults
   */
  public DocumentResult parse(String source, byte[] bytes, FragmentSource fragments) {
    FaultCollector faults = new FaultCollector();
    Optional<JsonValue> root = reader.read(source, bytes, faults);
    if (root.isEmpty()) {
      return new DocumentResult.Invalid(faults.faults());
    }
    ObjectReader main = ObjectReader.forRoot(source, root.get(), faults);
    final long generation = main.readLong("generation", 1, MAXIMUM_GENERATION);
    final FleetPolicy fleet = readFleet(main);
    DocumentBuilder builder = new DocumentBuilder(faults);
    builder.readParts(main);
    if (main.has(FRAGMENTS)) {
      readFragments(main, fragments, builder, faults);
    }
    main.reportUnknownFields();
    builder.checkReferences();
    if (!faults.isEmpty()) {
      return new DocumentResult.Invalid(faults.faults());
    }
    return new DocumentResult.Parsed(builder.build(generation, Sha256.hex(bytes), fleet));
  }

  /**
   * Reads only the fragment references of a document, so that a caller can fetch the fragments
   * first.
   *
   * @param bytes the main bytes
   * @return the references; empty if there are none or the bytes are not valid, which {@link
   *     #parse} reports
   */
  public List<FragmentReference> fragmentReferences(byte[] bytes) {
    FaultCollector faults = new FaultCollector();
    return reader
        .read("document", bytes, faults)
        .map(root -> readReferences(ObjectReader.forRoot("document", root, faults)))
        .filter(references -> faults.isEmpty() && references.size() <= MAXIMUM_FRAGMENTS)
        .orElse(List.of());
  }

  /**
   * Computes the digest of the main bytes of a document or of a fragment.
   *
   * @param bytes the bytes
   * @return SHA-256 in lower-case hexadecimal
   */
  public static String digest(byte[] bytes) {
    return Sha256.hex(bytes);
  }

  private static FleetPolicy readFleet(ObjectReader main) {
    return main.readRequiredObject("fleet")
        .map(
            fleet -> {
              int maximumVmCount = (int) fleet.readLong("maximumVmCount", 1, MAXIMUM_VM_COUNT);
              LimitMechanism mechanism =
                  fleet.readEnum("limitMechanism", LimitMechanism.LEASED_SHARES);
              fleet.reportUnknownFields();
              return new FleetPolicy(maximumVmCount, mechanism);
            })
        .orElse(new FleetPolicy(1, LimitMechanism.LEASED_SHARES));
  }

  private static List<FragmentReference> readReferences(ObjectReader main) {
    return main.readObjects(
        FRAGMENTS,
        entry ->
            new FragmentReference(
                entry.readString("name", StringFormat.NAME),
                entry.readString("sha256", StringFormat.SHA256)));
  }

  private void readFragments(
      ObjectReader main, FragmentSource fragments, DocumentBuilder builder, FaultCollector faults) {
    List<FragmentReference> references = readReferences(main);
    if (references.size() > MAXIMUM_FRAGMENTS) {
      main.reportFault(
          FRAGMENTS,
          references.size() + " fragments are named",
          "name at most " + MAXIMUM_FRAGMENTS);
      return;
    }
    if (references.stream().map(FragmentReference::name).distinct().count() < references.size()) {
      main.reportFault(FRAGMENTS, "a fragment is named twice", "name each fragment once");
      return;
    }
    for (FragmentReference reference : references) {
      Optional<byte[]> bytes = fragments.fragment(reference);
      if (bytes.isEmpty()) {
        main.reportFault(
            FRAGMENTS,
            "fragment " + reference.name() + " is not available",
            "publish it before the document that names it");
      } else if (!Sha256.hex(bytes.get()).equals(reference.sha256())) {
        main.reportFault(
            FRAGMENTS,
            "fragment " + reference.name() + " has another digest than the document states",
            "state " + Sha256.hex(bytes.get()) + " or restore the fragment's bytes");
      } else {
        // Holds one syntax tree at a time, which bounds its memory by the size of one value.
        reader
            .read(reference.name(), bytes.get(), faults)
            .ifPresent(root -> readFragment(reference.name(), root, builder, faults));
      }
    }
  }

  private static void readFragment(
      String name, JsonValue root, DocumentBuilder builder, FaultCollector faults) {
    ObjectReader fragment = ObjectReader.forRoot(name, root, faults);
    builder.readParts(fragment);
    fragment.reportUnknownFields();
  }
}

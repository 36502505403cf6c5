package org.kumquatvane.server.internal;

import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.kumquatvane.distribution.ContentDigest;
import org.kumquatvane.distribution.DocumentDecoder;
import org.kumquatvane.distribution.DocumentFragment;
import org.kumquatvane.documents.DocumentParser;
import org.kumquatvane.documents.DocumentResult;
import org.kumquatvane.documents.FragmentReference;
import org.kumquatvane.json.Fault;

/** Decodes distributed documents with the document parser. */
public final class JsonDocumentDecoder implements DocumentDecoder {
  /** Faults that a log line names; all of them are shown by {@code kumquatvane check}. */
  private static final int LOGGED_FAULTS = 3;

  private final DocumentParser parser = new DocumentParser();
  private final String source;

  /**
   * Creates a decoder.
   *
   * @param source name of the platform value, for messages
   */
  public JsonDocumentDecoder(String source) {
    this.source = source;
  }

  @Override
  public List<DocumentFragment> fragments(byte[] main) {
    return parser.fragmentReferences(main).stream().map(JsonDocumentDecoder::fragment).toList();
  }

  private static DocumentFragment fragment(FragmentReference reference) {
    return new DocumentFragment(reference.name(), new ContentDigest(reference.sha256()));
  }

  @Override
  public Result parse(byte[] main, Function<DocumentFragment, Optional<byte[]>> fragments) {
    DocumentResult result =
        parser.parse(source, main, reference -> fragments.apply(fragment(reference)));
    if (result instanceof DocumentResult.Parsed parsed) {
      return new Result.Valid(parsed.document());
    }
    List<Fault> faults = ((DocumentResult.Invalid) result).faults();
    return new Result.Invalid(
        faults.stream().limit(LOGGED_FAULTS).map(Fault::toString).collect(Collectors.joining("; "))
            + (faults.size() > LOGGED_FAULTS ? "; and more" : ""));
  }
}

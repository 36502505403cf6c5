package org.kumquatvane.documents;

import java.util.Optional;

/** Provides the bytes of a document's fragments. */
@FunctionalInterface
public interface FragmentSource {
  /** Source for documents without fragments. */
  FragmentSource NONE = reference -> Optional.empty();

  /**
   * Returns the bytes of one fragment; the parser checks their digest.
   *
   * @param reference name and digest
   * @return the bytes, or empty if the fragment is not available
   */
  Optional<byte[]> fragment(FragmentReference reference);
}

package org.kumquatvane.distribution.internal;

import java.io.ByteArrayOutputStream;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Optional;
import java.util.Queue;
import org.kumquatvane.core.Deadline;
import org.kumquatvane.core.VmId;
import org.kumquatvane.distribution.ContentDigest;
import org.kumquatvane.distribution.DocumentFragment;
import org.kumquatvane.distribution.DocumentOffer;
import org.kumquatvane.distribution.DocumentPart;
import org.kumquatvane.distribution.DocumentRequest;

/**
 * Transfer of one document from one peer in sequential parts: first the main bytes, then the
 * missing fragments. Guarded by the distribution lock.
 */
public final class DocumentTransfer {
  /** Twice the maximum value size of the platform, which is one megabyte. */
  private static final int MAXIMUM_CONTENT_BYTES = 2 << 20;

  private final VmId peer;
  private final DocumentOffer offer;
  private final Queue<ContentDigest> pendingDigests = new ArrayDeque<>();
  private ContentDigest currentDigest;
  private ByteArrayOutputStream received = new ByteArrayOutputStream();
  private Deadline partDeadline;

  /**
   * Creates a transfer that starts with the main bytes.
   *
   * @param peer the VM that offered the document
   * @param offer its offer
   * @param partDeadline deadline of the first part
   */
  public DocumentTransfer(VmId peer, DocumentOffer offer, Deadline partDeadline) {
    this.peer = peer;
    this.offer = offer;
    this.currentDigest = offer.digest();
    this.partDeadline = partDeadline;
  }

  /**
   * Returns the VM that serves the transfer.
   *
   * @return the peer
   */
  public VmId peer() {
    return peer;
  }

  /**
   * Returns the offer that started the transfer.
   *
   * @return the offer
   */
  public DocumentOffer offer() {
    return offer;
  }

  /**
   * Returns the deadline of the next part.
   *
   * @return the deadline
   */
  public Deadline partDeadline() {
    return partDeadline;
  }

  /**
   * Returns the request for the next part.
   *
   * @return the request
   */
  public DocumentRequest nextRequest() {
    return new DocumentRequest(currentDigest, received.size());
  }

  /**
   * Adds a part.
   *
   * @param part the part
   * @param nextDeadline deadline of the following part
   * @return the progress of the transfer
   */
  public Progress add(DocumentPart part, Deadline nextDeadline) {
    if (!part.digest().equals(currentDigest) || part.offset() != received.size()) {
      return new Progress.Ignored();
    }
    int size = received.size() + part.bytes().length;
    boolean validSize = part.totalBytes() <= MAXIMUM_CONTENT_BYTES && size <= part.totalBytes();
    if (!validSize || (part.bytes().length == 0 && size < part.totalBytes())) {
      return new Progress.Failed("the peer sent a part with an invalid size");
    }
    received.writeBytes(part.bytes());
    partDeadline = nextDeadline;
    if (size < part.totalBytes()) {
      return new Progress.MorePartsNeeded();
    }
    byte[] content = received.toByteArray();
    received = new ByteArrayOutputStream();
    return ContentDigest.of(content).equals(currentDigest)
        ? new Progress.ContentComplete(currentDigest, content)
        : new Progress.Failed("the received bytes do not match the digest");
  }

  /**
   * Adds missing fragments to the transfer.
   *
   * @param missing the fragments
   */
  public void enqueue(List<DocumentFragment> missing) {
    missing.forEach(part -> pendingDigests.add(part.digest()));
  }

  /**
   * Moves to the next fragment.
   *
   * @return the request for its first part, or empty if all content was received
   */
  public Optional<DocumentRequest> nextContent() {
    ContentDigest next = pendingDigests.poll();
    if (next == null) {
      return Optional.empty();
    }
    currentDigest = next;
    return Optional.of(nextRequest());
  }

  /** Progress of a transfer after a received part. */
  public sealed interface Progress {
    /** The part is late or a duplicate. */
    record Ignored() implements Progress {}

    /** More parts are needed. */
    record MorePartsNeeded() implements Progress {}

    /**
     * The current content is complete and matches its digest.
     *
     * @param digest its digest
     * @param bytes its bytes
     */
    @SuppressWarnings("ArrayRecordComponent") // Never compared.
    record ContentComplete(ContentDigest digest, byte[] bytes) implements Progress {}

    /**
     * The transfer failed.
     *
     * @param detail description of the failure
     */
    record Failed(String detail) implements Progress {}
  }
}

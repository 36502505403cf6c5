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
 * Transfer of one document from one peer, part after part: first the main bytes, then the fragments
 * that are missing. Guarded by the distribution lock.
 */
public final class DocumentTransfer {
  /** The platform holds values of up to a megabyte; twice that leaves room for change. */
  private static final int MAXIMUM_CONTENT_BYTES = 2 << 20;

  private final VmId peer;
  private final DocumentOffer offer;
  private final Queue<ContentDigest> pendingDigests = new ArrayDeque<>();
  private ContentDigest currentDigest;
  private ByteArrayOutputStream received = new ByteArrayOutputStream();
  private Deadline partDeadline;

  /**
   * Starts with the main bytes.
   *
   * @param peer the VM that offered the document
   * @param offer its offer
   * @param partDeadline until when the first part must arrive
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
   * Returns the offer that began the transfer.
   *
   * @return the offer
   */
  public DocumentOffer offer() {
    return offer;
  }

  /**
   * Returns until when the next part must arrive.
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
   * @param nextDeadline until when the part after it must arrive
   * @return what follows
   */
  public Progress add(DocumentPart part, Deadline nextDeadline) {
    if (!part.digest().equals(currentDigest) || part.offset() != received.size()) {
      return new Progress.Ignored();
    }
    int size = received.size() + part.bytes().length;
    boolean validSize = part.totalBytes() <= MAXIMUM_CONTENT_BYTES && size <= part.totalBytes();
    if (!validSize || (part.bytes().length == 0 && size < part.totalBytes())) {
      return new Progress.Failed("the peer sent a part of a wrong size");
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
        : new Progress.Failed("the received bytes have another digest");
  }

  /**
   * Adds fragments to the transfer.
   *
   * @param missing fragments that this VM does not have
   */
  public void enqueue(List<DocumentFragment> missing) {
    missing.forEach(part -> pendingDigests.add(part.digest()));
  }

  /**
   * Moves to the next fragment.
   *
   * @return the request for its first part, or empty if all content has arrived
   */
  public Optional<DocumentRequest> nextContent() {
    ContentDigest next = pendingDigests.poll();
    if (next == null) {
      return Optional.empty();
    }
    currentDigest = next;
    return Optional.of(nextRequest());
  }

  /** What follows from a part. */
  public sealed interface Progress {
    /** The part is late or doubled. */
    record Ignored() implements Progress {}

    /** More parts are needed. */
    record MorePartsNeeded() implements Progress {}

    /**
     * A content is complete and has the right digest.
     *
     * @param digest its digest
     * @param bytes its bytes
     */
    @SuppressWarnings("ArrayRecordComponent") // Never compared.
    record ContentComplete(ContentDigest digest, byte[] bytes) implements Progress {}

    /**
     * The transfer is useless.
     *
     * @param detail why
     */
    record Failed(String detail) implements Progress {}
  }
}

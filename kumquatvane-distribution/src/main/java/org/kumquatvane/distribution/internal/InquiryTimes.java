package org.kumquatvane.distribution.internal;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.kumquatvane.core.Clock;
import org.kumquatvane.core.Deadline;
import org.kumquatvane.core.VmId;

/**
 * Decides when this VM requests all items of another VM, and when it answers such inquiries: it
 * collects them, so that one encoding of the items answers many VMs. Guarded by the lock of the
 * feed.
 */
public final class InquiryTimes {
  /** Time in which inquiries are collected; VMs notice the same gap at about the same time. */
  private static final Duration COLLECTION_TIME = Duration.ofMillis(30);

  /** Minimum time between two answers, which bounds the work that inquiries can cause. */
  private static final Duration ANSWER_INTERVAL = Duration.ofMillis(300);

  /** Longest pause between two inquiries of a VM that are not answered. */
  private static final Duration MAXIMUM_INQUIRY_PAUSE = Duration.ofMillis(1_200);

  private final Clock clock;
  private final Duration minimumInquiryPause;
  private final Set<VmId> waiting = new LinkedHashSet<>();
  private Deadline nextAnswer;
  private Deadline nextInquiry;
  private Duration inquiryPause;

  /**
   * Creates the times of a VM without inquiries.
   *
   * @param clock clock of the deadlines
   * @param minimumInquiryPause pause after an inquiry of this VM; it doubles with each further one
   *     that is not answered
   */
  public InquiryTimes(Clock clock, Duration minimumInquiryPause) {
    this.clock = clock;
    this.minimumInquiryPause = minimumInquiryPause;
    inquiryPause = minimumInquiryPause;
    nextAnswer = new Deadline(clock.monotonicNanos());
    nextInquiry = nextAnswer;
  }

  /**
   * Adds a VM.
   *
   * @param vm the VM that has sent an inquiry
   * @return whether it is the first one since the last answer, which then has to be scheduled
   */
  public boolean add(VmId vm) {
    boolean isFirst = waiting.isEmpty();
    waiting.add(vm);
    return isFirst;
  }

  /**
   * Returns when to answer the VMs added so far.
   *
   * @return the time of the answer
   */
  public Deadline answerTime() {
    Deadline collected = Deadline.after(clock, COLLECTION_TIME);
    return collected.nanos() - nextAnswer.nanos() > 0 ? collected : nextAnswer;
  }

  /**
   * Takes the VMs to answer now.
   *
   * @return the VMs
   */
  public List<VmId> takeWaiting() {
    List<VmId> receivers = new ArrayList<>(waiting);
    waiting.clear();
    nextAnswer = Deadline.after(clock, ANSWER_INTERVAL);
    return receivers;
  }

  /**
   * Decides whether this VM may send an inquiry now, and if so counts it as sent.
   *
   * @return whether to send it
   */
  public boolean beginInquiry() {
    if (!nextInquiry.isReached(clock)) {
      return false;
    }
    nextInquiry = Deadline.after(clock, inquiryPause);
    Duration doubled = inquiryPause.multipliedBy(2);
    inquiryPause = doubled.compareTo(MAXIMUM_INQUIRY_PAUSE) < 0 ? doubled : MAXIMUM_INQUIRY_PAUSE;
    return true;
  }

  /** Records that this VM has no gap any more. */
  public void onUpToDate() {
    inquiryPause = minimumInquiryPause;
  }
}

package org.kumquatvane.distribution.internal;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.kumquatvane.core.Clock;
import org.kumquatvane.core.Counters;
import org.kumquatvane.core.Deadline;
import org.kumquatvane.core.PeerSender;
import org.kumquatvane.core.RankedLock;
import org.kumquatvane.core.Scheduler;
import org.kumquatvane.core.VmId;
import org.kumquatvane.distribution.ItemRules;
import org.kumquatvane.distribution.ItemsInquiry;
import org.kumquatvane.distribution.ItemsReport;
import org.kumquatvane.distribution.SourceItem;

/**
 * Exchanges items with the other VMs of the failure domain. Reports are split into parts of bounded
 * size, and a set of items is encoded once for all VMs that wait for it.
 */
public final class ItemExchange {
  private final RankedLock lock;
  private final ItemTable table;
  private final Receiver receiver;
  private final ItemRules rules;
  private final InquiryTimes inquiries;
  private final Supplier<List<VmId>> peers;
  private final PeerSender sender;
  private final Clock clock;
  private final Scheduler scheduler;
  private final Counters counters;
  private final ReportParts parts = new ReportParts();

  /**
   * Applies reports.
   *
   * @param apply applies a report under the lock of the feed; returns false if changes before it
   *     are missing
   * @param afterApply called after each report, without the lock
   */
  public record Receiver(Predicate<ItemsReport> apply, Runnable afterApply) {}

  /**
   * Creates an exchange.
   *
   * @param lock lock of the feed
   * @param table items of this VM
   * @param receiver applies reports
   * @param rules what is kept of received items
   * @param inquiries times of inquiries and of their answers
   * @param peers returns the other VMs of the failure domain
   * @param sender sends to other VMs
   * @param clock chooses among peers
   * @param scheduler runs the answers
   * @param counters counts gaps and reports that are too large to send
   */
  public ItemExchange(
      RankedLock lock,
      ItemTable table,
      Receiver receiver,
      ItemRules rules,
      InquiryTimes inquiries,
      Supplier<List<VmId>> peers,
      PeerSender sender,
      Clock clock,
      Scheduler scheduler,
      Counters counters) {
    this.lock = lock;
    this.table = table;
    this.receiver = receiver;
    this.rules = rules;
    this.inquiries = inquiries;
    this.peers = peers;
    this.sender = sender;
    this.clock = clock;
    this.scheduler = scheduler;
    this.counters = counters;
  }

  /**
   * Splits a report of changes. Called under the lock of the feed.
   *
   * @param fromRevision revision after which the list contains all changes
   * @param items changed and removed items
   * @return the parts; none if the report is too large to send
   */
  public List<ItemsReport> split(long fromRevision, List<SourceItem> items) {
    return countLeftOut(ReportParts.split(false, fromRevision, table.revision(), items));
  }

  private List<ItemsReport> countLeftOut(List<ItemsReport> reports) {
    if (reports.isEmpty()) {
      counters.add("source.reports_left_out", 1);
    }
    return reports;
  }

  /**
   * Sends reports to all other VMs of the failure domain.
   *
   * @param reports the parts in order
   */
  public void send(List<ItemsReport> reports) {
    List<VmId> receivers = peers.get();
    reports.forEach(report -> sender.sendToAll(receivers, report));
  }

  /**
   * Decides whether this VM may send an inquiry now. Called under the lock of the feed.
   *
   * @return whether to send one
   */
  public boolean beginInquiry() {
    return inquiries.beginInquiry();
  }

  /** Records that this VM's items are up to date. Called under the lock of the feed. */
  public void onUpToDate() {
    inquiries.onUpToDate();
  }

  /** Requests all items of some VM of the failure domain, if there is one. */
  public void sendInquiryToAnyPeer() {
    List<VmId> known = peers.get();
    if (!known.isEmpty()) {
      sender.send(
          known.get(Math.floorMod((int) clock.monotonicNanos(), known.size())),
          new ItemsInquiry(ItemTable.NO_REVISION));
    }
  }

  /**
   * Handles a part of a report.
   *
   * @param from the sender
   * @param part the part
   */
  public void onReport(VmId from, ItemsReport part) {
    ItemsReport reduced =
        new ItemsReport(
            part.complete(),
            part.fromRevision(),
            part.revision(),
            part.part(),
            part.parts(),
            part.items().stream().map(this::reduce).toList());
    long[] knownRevision = new long[1];
    boolean sendInquiry =
        lock.call(
            () -> {
              Optional<ItemsReport> report = parts.join(from, reduced);
              boolean hasGap = report.isPresent() && !receiver.apply().test(report.get());
              knownRevision[0] = table.revision();
              return hasGap && inquiries.beginInquiry();
            });
    receiver.afterApply().run();
    if (sendInquiry) {
      counters.add("source.gaps", 1);
      sender.send(from, new ItemsInquiry(knownRevision[0]));
    }
  }

  /** A VM of another version may send values that this one cannot use. */
  private SourceItem reduce(SourceItem item) {
    return item.value().isEmpty()
        ? item
        : new SourceItem(item.key(), rules.reduce(item.key(), item.value().get()), item.revision());
  }

  /**
   * Handles an inquiry; the answer follows a little later, with those to other VMs.
   *
   * @param from the sender
   * @param inquiry the inquiry
   */
  public void onInquiry(VmId from, ItemsInquiry inquiry) {
    Optional<Deadline> answerTime =
        lock.call(
            () ->
                table.revision() > inquiry.knownRevision() && inquiries.add(from)
                    ? Optional.of(inquiries.answerTime())
                    : Optional.empty());
    answerTime.ifPresent(time -> scheduler.schedule(time, this::answerInquiries));
  }

  private void answerInquiries() {
    List<VmId> receivers = new ArrayList<>();
    List<ItemsReport> reports =
        lock.call(
            () -> {
              receivers.addAll(inquiries.takeWaiting());
              return countLeftOut(
                  ReportParts.split(true, 0, table.revision(), table.presentItems()));
            });
    reports.forEach(report -> sender.sendToAll(receivers, report));
  }
}

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
import org.kumquatvane.distribution.RetainedItems;
import org.kumquatvane.distribution.SourceItem;
import org.kumquatvane.distribution.SourcePosition;

/**
 * Exchanges items with the other VMs of the failure domain. Reports are split into parts of bounded
 * size, and a set of items is encoded once for all VMs that wait for it.
 */
public final class ItemExchange {
  private final RankedLock lock;
  private final ItemTable table;
  private final RetentionPeriod retention;
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
   * @param retention until when items of an earlier era are kept
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
      RetentionPeriod retention,
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
    this.retention = retention;
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
   * Splits what to report after a response. Called under the lock of the feed.
   *
   * @param report the report
   * @return the parts; none if there is nothing to report or it is too large to send
   */
  public List<ItemsReport> split(ItemUpdater.Report report) {
    if (report instanceof ItemUpdater.Report.AllItems) {
      return splitAll();
    }
    if (report instanceof ItemUpdater.Report.Changes changes) {
      return countLeftOut(
          ReportParts.split(
              new ItemsReport(
                  false,
                  changes.from(),
                  table.position(),
                  0,
                  1,
                  changes.items(),
                  RetainedItems.NONE)));
    }
    return List.of();
  }

  private List<ItemsReport> splitAll() {
    return countLeftOut(
        ReportParts.split(
            new ItemsReport(
                true,
                SourcePosition.NONE,
                table.position(),
                0,
                1,
                table.sourceItems(),
                new RetainedItems(table.retainedItems(), retention.remainingMillis()))));
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

  /** Requests all items of some VM of the failure domain, if there is one. */
  public void sendInquiryToAnyPeer() {
    List<VmId> known = peers.get();
    if (!known.isEmpty()) {
      sender.send(
          known.get(Math.floorMod((int) clock.monotonicNanos(), known.size())),
          new ItemsInquiry(SourcePosition.NONE));
    }
  }

  /**
   * Asks the next VM for items that it keeps from an earlier era, if this VM has items and there is
   * a VM left to ask.
   *
   * @param startInquiries chooses the VM
   */
  public void sendStartInquiry(StartInquiries startInquiries) {
    List<VmId> known = peers.get();
    SourcePosition[] position = new SourcePosition[] {SourcePosition.NONE};
    Optional<VmId> receiver =
        lock.call(
            () -> {
              position[0] = table.position();
              return position[0].isNone()
                  ? Optional.empty()
                  : startInquiries.next(known, clock.monotonicNanos());
            });
    receiver.ifPresent(vm -> sender.send(vm, new ItemsInquiry(position[0])));
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
            part.from(),
            part.position(),
            part.part(),
            part.parts(),
            part.items().stream().map(this::reduce).toList(),
            new RetainedItems(
                part.retained().items().stream().map(this::reduce).toList(),
                part.retained().remainingMillis()));
    SourcePosition[] known = new SourcePosition[] {SourcePosition.NONE};
    boolean sendInquiry =
        lock.call(
            () -> {
              Optional<ItemsReport> report = parts.join(from, reduced);
              boolean hasGap = report.isPresent() && !receiver.apply().test(report.get());
              known[0] = table.position();
              return hasGap && inquiries.beginInquiry();
            });
    receiver.afterApply().run();
    if (sendInquiry) {
      counters.add("source.gaps", 1);
      sender.send(from, new ItemsInquiry(known[0]));
    }
  }

  /** A VM of another version may send values that this one cannot use. */
  private SourceItem reduce(SourceItem item) {
    return item.value().isEmpty()
        ? item
        : new SourceItem(item.key(), rules.reduce(item.key(), item.value().get()), item.position());
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
                hasNewsFor(inquiry.known()) && inquiries.add(from)
                    ? Optional.of(inquiries.answerTime())
                    : Optional.empty());
    answerTime.ifPresent(time -> scheduler.schedule(time, this::answerInquiries));
  }

  private boolean hasNewsFor(SourcePosition known) {
    return table.position().isAfter(known) || !table.retainedItems().isEmpty();
  }

  private void answerInquiries() {
    List<VmId> receivers = new ArrayList<>();
    List<ItemsReport> reports =
        lock.call(
            () -> {
              receivers.addAll(inquiries.takeWaiting());
              return splitAll();
            });
    reports.forEach(report -> sender.sendToAll(receivers, report));
  }
}

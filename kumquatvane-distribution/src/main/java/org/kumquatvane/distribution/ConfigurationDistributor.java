package org.kumquatvane.distribution;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.kumquatvane.core.Clock;
import org.kumquatvane.core.Counters;
import org.kumquatvane.core.Deadline;
import org.kumquatvane.core.EventLog;
import org.kumquatvane.core.KeyDigest;
import org.kumquatvane.core.LockRank;
import org.kumquatvane.core.LogField;
import org.kumquatvane.core.OrderedEffects;
import org.kumquatvane.core.PeerDispatcher;
import org.kumquatvane.core.PeerMessage;
import org.kumquatvane.core.PeerSender;
import org.kumquatvane.core.RankedLock;
import org.kumquatvane.core.Scheduler;
import org.kumquatvane.core.VmId;
import org.kumquatvane.distribution.internal.ContentStore;
import org.kumquatvane.distribution.internal.Readers;
import org.kumquatvane.distribution.internal.Transfer;
import org.kumquatvane.distribution.internal.WatchLoop;
import org.kumquatvane.distribution.internal.WatchLoop.Ending;
import org.kumquatvane.distribution.internal.WithdrawnKeys;
import org.kumquatvane.document.Acceptance;
import org.kumquatvane.document.ConfigurationTable;
import org.kumquatvane.document.Document;
import org.kumquatvane.keys.KeyTable;
import org.kumquatvane.membership.ConfigurationVersions;
import org.kumquatvane.membership.FleetMembership;
import org.kumquatvane.membership.MembershipListener;
import org.kumquatvane.membership.Vm;
import org.kumquatvane.membership.VmList;
import org.kumquatvane.membership.VmListListener;

/**
 * Brings documents, key withdrawals and VM lists to every VM (docs/design.md, 7.2). A few readers
 * watch the platform; the others learn from them, and heartbeats reveal what was lost.
 */
public final class ConfigurationDistributor implements MembershipListener {
  private final DistributionSettings settings;
  private final FleetMembership membership;
  private final ConfigurationTable table;
  private final KeyTable keys;
  private final DocumentIntake intake;
  private final PlatformSource source;
  private final List<VmListListener> listListeners;
  private final LatestMark mark;
  private final PeerSender sender;
  private final Clock clock;
  private final Scheduler scheduler;
  private final Counters counters;
  private final EventLog eventLog;
  private final RankedLock lock = new RankedLock(LockRank.DISTRIBUTION);
  private final OrderedEffects effects = new OrderedEffects();
  private final WatchLoop documentLoop;
  private final WatchLoop listLoop;
  private final ContentStore contents = new ContentStore();
  private final Set<ContentDigest> refused = new HashSet<>();
  private final Map<KeyDigest, Long> withdrawals = new HashMap<>();
  private final Deadline peerWaitEnd;
  private @Nullable DocumentOffer inForce;
  private @Nullable Transfer transfer;
  private @Nullable VmList newestList;
  private long highestOffered;
  private long highestReportedList;
  private Deadline settled;
  private boolean sourceTrusted;
  private boolean closed;

  /**
   * Creates a distributor; {@link #start} begins to read and to ask peers.
   *
   * @param settings times and names
   * @param membership VM list and peer evidence; this object must be its listener
   * @param table the document in force
   * @param keys receives withdrawals
   * @param intake parses documents
   * @param source the platform
   * @param listListeners learn of each newer VM list, in the given order, membership first
   * @param mark kept up to date for the heartbeats
   * @param sender sends to other VMs
   * @param clock clock of this VM
   * @param scheduler runs ticks and parsing
   * @param counters receives what became of documents
   * @param eventLog receives refusals
   */
  public ConfigurationDistributor(
      DistributionSettings settings,
      FleetMembership membership,
      ConfigurationTable table,
      KeyTable keys,
      DocumentIntake intake,
      PlatformSource source,
      List<VmListListener> listListeners,
      LatestMark mark,
      PeerSender sender,
      Clock clock,
      Scheduler scheduler,
      Counters counters,
      EventLog eventLog) {
    this.settings = settings;
    this.membership = membership;
    this.table = table;
    this.keys = keys;
    this.intake = intake;
    this.source = source;
    this.listListeners = List.copyOf(listListeners);
    this.mark = mark;
    this.sender = sender;
    this.clock = clock;
    this.scheduler = scheduler;
    this.counters = counters;
    this.eventLog = eventLog;
    peerWaitEnd = Deadline.after(clock, settings.peerWait());
    settled = new Deadline(clock.monotonicNanos());
    documentLoop = loop(this::readDocument);
    listLoop = loop(this::readList);
  }

  private WatchLoop loop(WatchLoop.Call call) {
    return new WatchLoop(
        clock, scheduler, settings.shortestCallInterval(), settings.longestWatch(), call);
  }

  /**
   * Registers the handlers of the messages of this module.
   *
   * @param dispatcher hands over received messages
   */
  public void registerHandlers(PeerDispatcher dispatcher) {
    dispatcher.register(DocumentOffer.class, this::handle);
    dispatcher.register(DocumentRequest.class, this::handle);
    dispatcher.register(DocumentPart.class, this::handle);
    dispatcher.register(ConfigurationInquiry.class, this::handle);
    dispatcher.register(KeyWithdrawal.class, this::handle);
    dispatcher.register(VmListReport.class, (from, report) -> acceptList(report.list(), true));
  }

  /** Starts the ticks. */
  public void start() {
    tick();
  }

  /** Ends the ticks and the watches. */
  public void close() {
    lock.run(() -> closed = true);
    documentLoop.setActive(false);
    listLoop.setActive(false);
  }

  /**
   * Returns the memory that the bytes of documents take.
   *
   * @return bytes of the document in force, its fragments and what has arrived of the next one
   */
  public long contentBytes() {
    return lock.call(contents::sizeBytes);
  }

  private void tick() {
    boolean reader = Readers.includesSelf(membership, settings.readersPerDomain());
    boolean readsDocument = lock.call(() -> !closed && reader && trustsSource());
    documentLoop.setActive(readsDocument);
    listLoop.setActive(reader && !lock.call(() -> closed));
    decide(
        () -> {
          if (closed) {
            return;
          }
          Transfer current = transfer;
          if (current != null && current.partDeadline().isReached(clock)) {
            record(
                EventLog.Level.INFO,
                "document_transfer_timed_out",
                LogField.of("peer", current.peer()));
            transfer = null;
          }
          if (!sourceTrusted) {
            sendToAll(new ConfigurationInquiry(mark.get()));
          }
          scheduler.schedule(Deadline.after(clock, settings.tickInterval()), this::tick);
        });
  }

  /** A starting VM prefers a document of its peers, since the source may be stale for hours. */
  private boolean trustsSource() {
    sourceTrusted |= peerWaitEnd.isReached(clock);
    return sourceTrusted;
  }

  // Reading the platform.

  private void readList(SourceWatch watch, Consumer<Ending> ending) {
    source.vmList(
        watch,
        answer -> {
          if (answer instanceof VmListAnswer.Current current) {
            acceptList(current.list(), false);
            ending.accept(new Ending.Changed(current.list().version()));
          } else if (answer instanceof VmListAnswer.Unchanged) {
            ending.accept(new Ending.Unchanged());
          } else {
            counters.add("distribution.source.list_unavailable", 1);
            ending.accept(new Ending.Failed());
          }
        });
  }

  private void readDocument(SourceWatch watch, Consumer<Ending> ending) {
    source.value(
        settings.valueName(),
        watch,
        answer -> {
          if (answer instanceof ValueAnswer.Current current) {
            // Parsing takes a worker and not the thread of the platform's connection.
            later(() -> fetchFragments(current, ending));
          } else if (answer instanceof ValueAnswer.Unchanged) {
            ending.accept(new Ending.Unchanged());
          } else {
            counters.add("distribution.source.document_unavailable", 1);
            ending.accept(new Ending.Failed());
          }
        });
  }

  private void fetchFragments(ValueAnswer.Current main, Consumer<Ending> ending) {
    ContentDigest digest = ContentDigest.of(main.bytes());
    List<DocumentFragment> fragments = intake.fragments(main.bytes());
    boolean known = lock.call(() -> refused.contains(digest) || isInForce(digest));
    List<DocumentFragment> missing = lock.call(() -> contents.missing(fragments));
    if (known || missing.isEmpty()) {
      if (!known) {
        deliver(main.bytes(), fragments, null);
      }
      ending.accept(new Ending.Changed(main.version()));
      return;
    }
    DocumentFragment next = missing.get(0);
    source.value(
        next.name(),
        SourceWatch.NOW,
        answer -> {
          if (answer instanceof ValueAnswer.Current part
              && ContentDigest.of(part.bytes()).equals(next.digest())) {
            lock.run(() -> contents.put(next.digest(), part.bytes()));
            later(() -> fetchFragments(main, ending));
          } else {
            counters.add("distribution.source.fragment_unavailable", 1);
            ending.accept(new Ending.Failed());
          }
        });
  }

  // Documents.

  /** Parses a complete document and puts it into force; not under the lock. */
  private void deliver(byte[] main, List<DocumentFragment> fragments, @Nullable VmId peer) {
    ContentDigest digest = ContentDigest.of(main);
    DocumentIntake.Result result =
        intake.parse(main, part -> lock.call(() -> contents.get(part.digest())));
    if (result instanceof DocumentIntake.Result.Invalid invalid) {
      counters.add("distribution.documents.invalid", 1);
      decide(() -> refuse(digest, "document_invalid", invalid.detail()));
    } else if (result instanceof DocumentIntake.Result.Valid valid) {
      withdrawAhead(valid.document(), peer == null);
      accept(valid.document(), digest, main, fragments, peer);
    }
  }

  private void withdrawAhead(Document next, boolean fromSource) {
    Optional<Document> current = table.current();
    if (current.isEmpty() || current.get().generation() >= next.generation()) {
      return;
    }
    List<KeyDigest> withdrawn = WithdrawnKeys.between(current.get(), next);
    withdrawn.forEach(key -> keys.withdraw(key, next.generation()));
    if (fromSource) {
      decide(() -> messages(next.generation(), withdrawn).forEach(this::sendToAll));
    }
  }

  private void accept(
      Document document,
      ContentDigest digest,
      byte[] main,
      List<DocumentFragment> fragments,
      @Nullable VmId peer) {
    Acceptance acceptance = table.offer(document);
    decide(
        () -> {
          if (acceptance instanceof Acceptance.Accepted) {
            counters.add("distribution.documents.accepted", 1);
            DocumentOffer held = inForce;
            if (held != null && held.generation() > document.generation()) {
              return;
            }
            DocumentOffer offer = new DocumentOffer(document.generation(), digest);
            inForce = offer;
            settled = Deadline.after(clock, settings.tickInterval());
            contents.put(digest, main);
            contents.retain(digest, fragments);
            refused.clear();
            withdrawals.values().removeIf(generation -> generation <= offer.generation());
            sourceTrusted |= peer != null;
            if (peer == null && highestOffered < offer.generation()) {
              sendToAll(offer);
            }
          } else if (acceptance instanceof Acceptance.Conflicting) {
            reportConflict(digest, document.generation());
          } else if (acceptance instanceof Acceptance.Older) {
            counters.add("distribution.documents.older", 1);
            refuse(digest, "document_older", "generation " + document.generation());
          }
        });
  }

  private boolean isInForce(ContentDigest digest) {
    DocumentOffer held = inForce;
    return held != null && held.digest().equals(digest);
  }

  private void reportConflict(ContentDigest digest, long generation) {
    counters.add("distribution.documents.conflicting", 1);
    refuse(
        digest,
        "document_conflicting",
        "generation "
            + generation
            + " has two contents; publish the intended one with a higher generation");
  }

  /** Remembered until another document is in force, so that it is not fetched again and again. */
  private void refuse(ContentDigest digest, String event, String detail) {
    if (refused.add(digest)) {
      record(
          EventLog.Level.WARNING,
          event,
          LogField.of("digest", digest),
          LogField.of("detail", detail));
    }
  }

  // Messages.

  private void handle(VmId from, DocumentOffer offer) {
    decide(
        () -> {
          highestOffered = Math.max(highestOffered, offer.generation());
          DocumentOffer held = inForce;
          Transfer current = transfer;
          if (refused.contains(offer.digest())
              || (current != null && current.offer().generation() >= offer.generation())) {
            return;
          }
          if (held != null && offer.generation() <= held.generation()) {
            if (offer.generation() == held.generation() && !isInForce(offer.digest())) {
              reportConflict(offer.digest(), offer.generation());
            }
            return;
          }
          Transfer started =
              new Transfer(from, offer, Deadline.after(clock, settings.partTimeout()));
          transfer = started;
          send(from, started.nextRequest());
        });
  }

  private void handle(VmId from, DocumentRequest request) {
    decide(
        () -> {
          Optional<byte[]> content = contents.get(request.digest());
          if (content.isPresent() && request.offset() >= 0) {
            byte[] whole = content.get();
            int offset = Math.min(request.offset(), whole.length);
            int end = Math.min(whole.length, offset + DocumentPart.MAXIMUM_BYTES);
            byte[] part = Arrays.copyOfRange(whole, offset, end);
            send(from, new DocumentPart(request.digest(), whole.length, offset, part));
          } else if (inForce != null) {
            send(from, inForce);
          }
        });
  }

  private void handle(VmId from, DocumentPart part) {
    decide(
        () -> {
          Transfer current = transfer;
          if (current == null || !current.peer().equals(from)) {
            return;
          }
          Deadline nextDeadline = Deadline.after(clock, settings.partTimeout());
          Transfer.Progress progress = current.add(part, nextDeadline);
          if (progress instanceof Transfer.Progress.Continues) {
            send(from, current.nextRequest());
          } else if (progress instanceof Transfer.Progress.Content content) {
            contents.put(content.digest(), content.bytes());
            later(() -> contentArrived(current, content.digest()));
          } else if (progress instanceof Transfer.Progress.Failed failed) {
            transfer = null;
            record(
                EventLog.Level.WARNING,
                "document_transfer_failed",
                LogField.of("peer", from),
                LogField.of("detail", failed.detail()));
          }
        });
  }

  /** Asks for the fragments after the main bytes, and puts a complete document into force. */
  private void contentArrived(Transfer current, ContentDigest arrived) {
    ContentDigest mainDigest = current.offer().digest();
    Optional<byte[]> main = lock.call(() -> contents.get(mainDigest));
    if (main.isEmpty()) {
      return;
    }
    List<DocumentFragment> fragments = intake.fragments(main.get());
    AtomicBoolean complete = new AtomicBoolean();
    decide(
        () -> {
          if (transfer != current) {
            return;
          }
          if (arrived.equals(mainDigest)) {
            current.require(contents.missing(fragments));
          }
          Optional<DocumentRequest> next = current.advance();
          next.ifPresent(request -> send(current.peer(), request));
          if (next.isEmpty()) {
            transfer = null;
            complete.set(true);
          }
        });
    if (complete.get()) {
      deliver(main.get(), fragments, current.peer());
    }
  }

  private void handle(VmId from, KeyWithdrawal withdrawal) {
    decide(
        () -> {
          DocumentOffer held = inForce;
          if (held != null && withdrawal.generation() <= held.generation()) {
            return;
          }
          for (KeyDigest key : withdrawal.digests()) {
            withdrawals.merge(key, withdrawal.generation(), Math::max);
          }
          effects.add(
              () ->
                  withdrawal.digests().forEach(key -> keys.withdraw(key, withdrawal.generation())));
        });
  }

  private void handle(VmId from, ConfigurationInquiry inquiry) {
    decide(() -> sendNewer(from, inquiry.known()));
  }

  @Override
  public void heartbeatReceived(VmId vm, ConfigurationVersions known) {
    decide(
        () -> {
          // Right after a change the peer's mark is older than what is on its way to it.
          if (settled.isReached(clock)) {
            sendNewer(vm, known);
          }
        });
  }

  private void sendNewer(VmId peer, ConfigurationVersions known) {
    DocumentOffer held = inForce;
    VmList list = newestList;
    if (known.withdrawalCount() < withdrawals.size()) {
      Map<Long, List<KeyDigest>> byGeneration = new HashMap<>();
      withdrawals.forEach(
          (key, generation) ->
              byGeneration.computeIfAbsent(generation, g -> new ArrayList<>()).add(key));
      byGeneration.forEach(
          (generation, digests) ->
              messages(generation, digests).forEach(message -> send(peer, message)));
    }
    if (held != null && known.generation() < held.generation()) {
      send(peer, held);
    }
    if (list != null && known.vmListVersion() < list.version()) {
      send(peer, new VmListReport(list));
    }
  }

  private void acceptList(VmList list, boolean fromPeer) {
    decide(
        () -> {
          if (fromPeer) {
            highestReportedList = Math.max(highestReportedList, list.version());
          }
          VmList known = newestList;
          if (known != null && list.version() <= known.version()) {
            return;
          }
          newestList = list;
          settled = Deadline.after(clock, settings.tickInterval());
          effects.add(() -> listListeners.forEach(listener -> listener.vmListChanged(list)));
          if (!fromPeer && highestReportedList < list.version()) {
            sendToAll(new VmListReport(list));
          }
        });
  }

  private static List<KeyWithdrawal> messages(long generation, List<KeyDigest> digests) {
    List<KeyWithdrawal> messages = new ArrayList<>();
    for (int start = 0; start < digests.size(); start += KeyWithdrawal.MAXIMUM_DIGESTS) {
      int end = Math.min(digests.size(), start + KeyWithdrawal.MAXIMUM_DIGESTS);
      messages.add(new KeyWithdrawal(generation, digests.subList(start, end)));
    }
    return messages;
  }

  /** Runs a decision under the lock, then what follows from it outside the lock. */
  private void decide(Runnable decision) {
    lock.run(
        () -> {
          decision.run();
          DocumentOffer held = inForce;
          VmList list = newestList;
          mark.set(
              new ConfigurationVersions(
                  held == null ? 0 : held.generation(),
                  withdrawals.size(),
                  list == null ? 0 : list.version()));
        });
    effects.drain();
  }

  private void later(Runnable task) {
    scheduler.schedule(new Deadline(clock.monotonicNanos()), task);
  }

  private void sendToAll(PeerMessage message) {
    effects.add(
        () -> {
          for (Vm vm : membership.listedVms()) {
            if (!vm.id().equals(membership.self().id())) {
              sender.send(vm.id(), message);
            }
          }
        });
  }

  private void send(VmId destination, PeerMessage message) {
    effects.add(() -> sender.send(destination, message));
  }

  private void record(EventLog.Level level, String event, LogField... fields) {
    effects.add(() -> eventLog.record(level, event, fields));
  }
}

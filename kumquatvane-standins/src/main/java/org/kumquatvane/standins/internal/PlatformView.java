package org.kumquatvane.standins.internal;

import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.HttpServiceContext;
import io.servicetalk.http.api.StreamingHttpRequest;
import io.servicetalk.http.api.StreamingHttpResponse;
import io.servicetalk.http.api.StreamingHttpResponseFactory;
import io.servicetalk.http.api.StreamingHttpService;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.jspecify.annotations.Nullable;
import org.kumquatvane.standins.Availability;

/** Serves the readers of one port of the platform; each port may return different revisions. */
public final class PlatformView implements StreamingHttpService {
  /** Name under which the VM list is stored; values have the prefix {@code values/}. */
  public static final String VM_LIST = "vms";

  private static final String VALUES_PATH = "/v1/values/";

  // Interval at which a waiting watch checks for revisions that become visible only by their age.
  private static final long LAG_CHECK_MILLIS = 20;

  private final RevisionStore shared;
  private final RevisionStore overrides;
  private final AtomicLong calls = new AtomicLong();
  private volatile Availability availability = Availability.ANSWERING;
  private volatile long vmListLagMillis;
  private volatile int revisionsBehind;

  /**
   * Creates a view.
   *
   * @param shared revisions that all views see
   * @param overrides revisions that only this view sees, in place of shared ones
   */
  public PlatformView(RevisionStore shared, RevisionStore overrides) {
    this.shared = shared;
    this.overrides = overrides;
  }

  /**
   * Changes the faults of the view.
   *
   * @param newAvailability whether calls are answered
   * @param newVmListLagMillis minimum age in milliseconds of a VM list that is visible
   * @param newRevisionsBehind number of newest revisions to leave out
   */
  public void setFaults(
      Availability newAvailability, long newVmListLagMillis, int newRevisionsBehind) {
    availability = newAvailability;
    vmListLagMillis = newVmListLagMillis;
    revisionsBehind = newRevisionsBehind;
    shared.notifyWatches();
  }

  /**
   * Returns the revisions that only this view sees.
   *
   * @return the store
   */
  public RevisionStore overrides() {
    return overrides;
  }

  /**
   * Returns how calls are handled.
   *
   * @return the availability
   */
  public Availability availability() {
    return availability;
  }

  /**
   * Returns the minimum age of a VM list that is visible.
   *
   * @return milliseconds
   */
  public long vmListLagMillis() {
    return vmListLagMillis;
  }

  /**
   * Returns the number of newest revisions that are left out.
   *
   * @return a count
   */
  public int revisionsBehind() {
    return revisionsBehind;
  }

  /**
   * Returns the number of calls so far; a waiting watch counts as one call.
   *
   * @return a count
   */
  public long callCount() {
    return calls.get();
  }

  @Override
  public Single<StreamingHttpResponse> handle(
      HttpServiceContext context,
      StreamingHttpRequest request,
      StreamingHttpResponseFactory responses) {
    calls.incrementAndGet();
    if (availability == Availability.HANGING) {
      return Single.never();
    }
    String name = valueNameOf(request.path());
    if (name == null || !"GET".equals(request.method().name())) {
      return Single.succeeded(
          Responses.withText(responses, name == null ? 404 : 405, "no such call"));
    }
    String after = request.queryParameter("after");
    long known = after == null ? -1 : Long.parseLong(after);
    String wait = request.queryParameter("waitMillis");
    long deadline =
        System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(wait == null ? 0 : Long.parseLong(wait));
    return request
        .messageBody()
        .ignoreElements()
        .concat(
            Single.defer(
                () -> Single.fromStage(respondWhenChanged(name, known, deadline, responses))))
        .flatMap(
            response ->
                availability == Availability.HANGING ? Single.never() : Single.succeeded(response));
  }

  private static @Nullable String valueNameOf(String path) {
    if (path.equals("/v1/vms")) {
      return VM_LIST;
    }
    return path.startsWith(VALUES_PATH) && path.length() > VALUES_PATH.length()
        ? "values/" + path.substring(VALUES_PATH.length())
        : null;
  }

  private CompletableFuture<StreamingHttpResponse> respondWhenChanged(
      String name, long known, long deadline, StreamingHttpResponseFactory responses) {
    // Obtained before the lookup, so that a change between the lookup and the wait is not missed.
    CompletableFuture<Void> change = shared.nextChange();
    Revision revision = findVisibleRevision(name);
    if (revision != null && revision.version() != known) {
      StreamingHttpResponse response = Responses.withBody(responses, 200, revision.content());
      response.setHeader("Version", Long.toString(revision.version()));
      return CompletableFuture.completedFuture(response);
    }
    long left = TimeUnit.NANOSECONDS.toMillis(deadline - System.nanoTime());
    if (left <= 0) {
      return CompletableFuture.completedFuture(
          revision == null
              ? Responses.withText(responses, 404, "no such value")
              : Responses.withBody(responses, 304, new byte[0]));
    }
    long wait = vmListLagMillis > 0 ? Math.min(left, LAG_CHECK_MILLIS) : left;
    return change
        .copy()
        .completeOnTimeout(null, wait, TimeUnit.MILLISECONDS)
        .thenComposeAsync(changed -> respondWhenChanged(name, known, deadline, responses));
  }

  private @Nullable Revision findVisibleRevision(String name) {
    long lag = name.equals(VM_LIST) ? TimeUnit.MILLISECONDS.toNanos(vmListLagMillis) : 0;
    Revision mine = overrides.visibleRevision(name, 0, 0);
    return mine != null ? mine : shared.visibleRevision(name, revisionsBehind, lag);
  }
}

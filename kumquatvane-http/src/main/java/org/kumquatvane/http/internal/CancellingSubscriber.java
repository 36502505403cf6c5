package org.kumquatvane.http.internal;

import io.servicetalk.concurrent.Cancellable;
import io.servicetalk.concurrent.CompletableSource;

/** Cancels at once, so that a body that is not wanted holds no resources. */
final class CancellingSubscriber implements CompletableSource.Subscriber {
  @Override
  public void onSubscribe(Cancellable cancellable) {
    cancellable.cancel();
  }

  @Override
  public void onComplete() {}

  @Override
  public void onError(Throwable failure) {}
}

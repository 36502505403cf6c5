package org.kumquatvane.http.internal;

import io.servicetalk.concurrent.Cancellable;
import io.servicetalk.concurrent.CompletableSource;

/** Subscriber that cancels immediately, so that an unwanted body releases its resources. */
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

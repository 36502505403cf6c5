package org.kumquatvane.http.internal;

import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.concurrent.PublisherSource.Subscriber;
import io.servicetalk.concurrent.PublisherSource.Subscription;
import io.servicetalk.concurrent.api.PublisherOperator;

/**
 * Reads and drops the rest of a caller's body when the attempt that sends it ends first.
 * ServiceTalk closes the caller's connection if the reading of its body is cancelled, and with it
 * the response that tells the caller about the end of the attempt.
 */
final class DrainAfterCancel implements PublisherOperator<Buffer, Buffer> {
  /** More than a caller has in flight; a longer rest ends the connection. */
  private static final long MAXIMUM_DROPPED_BYTES = 4L << 20;

  @Override
  public Subscriber<? super Buffer> apply(Subscriber<? super Buffer> subscriber) {
    return new Relay(subscriber);
  }

  private static final class Relay implements Subscriber<Buffer> {
    private final Subscriber<? super Buffer> subscriber;
    private volatile boolean isCancelled;
    private volatile boolean hasEnded;
    private long droppedBytes;

    /** The body; set before anything else happens. */
    private Subscription body = new NoBody();

    private Relay(Subscriber<? super Buffer> subscriber) {
      this.subscriber = subscriber;
    }

    @Override
    public void onSubscribe(Subscription subscription) {
      body = subscription;
      subscriber.onSubscribe(
          new Subscription() {
            @Override
            public void request(long count) {
              subscription.request(count);
            }

            @Override
            public void cancel() {
              isCancelled = true;
              if (!hasEnded) {
                subscription.request(Long.MAX_VALUE);
              }
            }
          });
    }

    @Override
    public void onNext(Buffer chunk) {
      if (!isCancelled) {
        subscriber.onNext(chunk);
        return;
      }
      droppedBytes += chunk.readableBytes();
      if (droppedBytes > MAXIMUM_DROPPED_BYTES) {
        body.cancel();
      }
    }

    @Override
    public void onError(Throwable failure) {
      hasEnded = true;
      if (!isCancelled) {
        subscriber.onError(failure);
      }
    }

    @Override
    public void onComplete() {
      hasEnded = true;
      if (!isCancelled) {
        subscriber.onComplete();
      }
    }
  }

  /** Stands for the body before the subscription. */
  private static final class NoBody implements Subscription {
    @Override
    public void request(long count) {}

    @Override
    public void cancel() {}
  }
}

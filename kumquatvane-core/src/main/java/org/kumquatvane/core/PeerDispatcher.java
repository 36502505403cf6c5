package org.kumquatvane.core;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/** Dispatches received peer messages to the handlers of their types. */
public final class PeerDispatcher {
  private final Map<Class<?>, PeerMessageHandler<PeerMessage>> handlers = new ConcurrentHashMap<>();
  private volatile Consumer<VmId> anyMessage = sender -> {};

  /**
   * Registers the handler of one message type, replacing an earlier one.
   *
   * @param type the message type
   * @param handler its handler
   * @param <M> the message type
   */
  public <M extends PeerMessage> void register(Class<M> type, PeerMessageHandler<M> handler) {
    handlers.put(type, (sender, message) -> handler.handle(sender, type.cast(message)));
  }

  /**
   * Registers the listener that is notified of every received message, replacing an earlier one.
   *
   * @param listener receives the sender of each message
   */
  public void onAnyMessage(Consumer<VmId> listener) {
    anyMessage = listener;
  }

  /**
   * Dispatches a message; a message without a registered handler is dropped.
   *
   * @param sender the authenticated sender
   * @param message the message
   */
  public void dispatch(VmId sender, PeerMessage message) {
    anyMessage.accept(sender);
    @Nullable PeerMessageHandler<PeerMessage> handler = handlers.get(message.getClass());
    if (handler != null) {
      handler.handle(sender, message);
    }
  }
}

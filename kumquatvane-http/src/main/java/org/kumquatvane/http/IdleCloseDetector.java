package org.kumquatvane.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.FilterableStreamingHttpConnection;
import io.servicetalk.http.api.StreamingHttpConnectionFilter;
import io.servicetalk.http.api.StreamingHttpRequest;
import io.servicetalk.http.api.StreamingHttpResponse;
import io.servicetalk.transport.netty.internal.NettyConnectionContext;
import java.util.function.Consumer;

/**
 * Closes a pooled client connection when the server closes it between two requests. ServiceTalk
 * does not read then, and Netty's NIO transport reports the end of a connection only to a channel
 * that reads, so that the next request on the connection would fail.
 */
public final class IdleCloseDetector extends StreamingHttpConnectionFilter {
  /**
   * Creates a filter.
   *
   * @param connection the connection
   */
  public IdleCloseDetector(FilterableStreamingHttpConnection connection) {
    super(connection);
  }

  @Override
  public Single<StreamingHttpResponse> request(StreamingHttpRequest request) {
    withChannel(channel -> channel.config().setOption(ChannelOption.ALLOW_HALF_CLOSURE, true));
    return delegate()
        .request(request)
        .map(
            response ->
                response.transformPayloadBody(body -> body.afterOnComplete(this::watchIdle)));
  }

  private void watchIdle() {
    withChannel(
        channel -> {
          channel.config().setOption(ChannelOption.ALLOW_HALF_CLOSURE, false);
          channel.read();
        });
  }

  private void withChannel(Consumer<Channel> action) {
    if (delegate().connectionContext() instanceof NettyConnectionContext context) {
      action.accept(context.nettyChannel());
    }
  }
}

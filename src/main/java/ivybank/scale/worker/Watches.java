package ivybank.scale.worker;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.util.ReferenceCountUtil;
import ivybank.common.Json;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.Set;

/**
 * The connections of a stand-in discovery server: calls for the list, and open watches. Counts bytes and messages both ways. An
 * address that is cut off hears nothing and is not heard; its connections stay open until the cut is healed, and are reset then.
 * Used on one event loop.
 */
final class Watches {

    private static final int LONGEST_REQUEST = 1024;
    private static final String STREAM = "stream=1&index=";

    private final Set<Channel> watching = new HashSet<>();
    private final Set<Channel> silenced = new HashSet<>();
    private String cutAddress = "";
    private long sentBytes;
    private long receivedBytes;
    private long sentMessages;
    private long calls;
    private long wholeLists;

    /** Takes a new connection. */
    void accept(Channel channel, NodeList list) {
        if (remoteAddress(channel).equals(cutAddress)) {
            channel.config().setAutoRead(false);
            silenced.add(channel);
        }
        channel.pipeline()
                .addLast(
                        new ByteCount(),
                        new HttpRequestDecoder(),
                        new HttpObjectAggregator(LONGEST_REQUEST),
                        new Caller(list));
    }

    private static String remoteAddress(Channel channel) {
        return ((InetSocketAddress) channel.remoteAddress()).getAddress().getHostAddress();
    }

    /** Sends one line to all that watch. */
    void tell(String json) {
        ByteBuf line = chunk(json + "\n");
        for (Channel watch : watching) {
            if (!silenced.contains(watch)) {
                sentMessages++;
                watch.writeAndFlush(line.retainedDuplicate());
            }
        }
        line.release();
    }

    /** Sends the empty line that tells that the watch lives. */
    void beat() {
        tell("");
    }

    /** Cuts off all that call from this address, until {@link #heal}. */
    ObjectNode cut(String address) {
        cutAddress = address;
        for (Channel channel : watching) {
            if (remoteAddress(channel).equals(address)) {
                channel.config().setAutoRead(false);
                silenced.add(channel);
            }
        }
        return Json.MAPPER.createObjectNode().put("cut", silenced.size());
    }

    /** Ends the cut: what stood silent is reset. */
    ObjectNode heal() {
        cutAddress = "";
        Set<Channel> ended = Set.copyOf(silenced);
        silenced.clear();
        ended.forEach(Channel::close);
        return Json.MAPPER
                .createObjectNode()
                .put("at_ms", MonotonicTime.nowMs())
                .put("reset", ended.size());
    }

    ObjectNode counters() {
        return Json.MAPPER
                .createObjectNode()
                .put("watches", watching.size())
                .put("sent_bytes", sentBytes)
                .put("received_bytes", receivedBytes)
                .put("sent_messages", sentMessages)
                .put("calls", calls)
                .put("whole_lists", wholeLists);
    }

    private static ByteBuf chunk(String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        byte[] size = (Integer.toHexString(bytes.length) + "\r\n").getBytes(StandardCharsets.US_ASCII);
        return Unpooled.wrappedBuffer(size, bytes, "\r\n".getBytes(StandardCharsets.US_ASCII));
    }

    /** Counts what passes on the wire. */
    private final class ByteCount extends ChannelDuplexHandler {

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            receivedBytes += ((ByteBuf) message).readableBytes();
            context.fireChannelRead(message);
        }

        @Override
        public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
            sentBytes += ((ByteBuf) message).readableBytes();
            context.write(message, promise);
        }
    }

    /** Answers one connection's calls. */
    private final class Caller extends ChannelInboundHandlerAdapter {

        private final NodeList list;

        Caller(NodeList list) {
            this.list = list;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            try {
                if (message instanceof FullHttpRequest request) {
                    calls++;
                    answer(context, request.uri());
                }
            } finally {
                ReferenceCountUtil.release(message);
            }
        }

        private void answer(ChannelHandlerContext context, String uri) {
            sentMessages++;
            int index = uri.indexOf(STREAM);
            if (index < 0) {
                wholeLists++;
                context.writeAndFlush(Unpooled.copiedBuffer(wholeAnswer(), StandardCharsets.UTF_8));
                return;
            }
            long known = Long.parseLong(uri.substring(index + STREAM.length()));
            ByteBuf head = Unpooled.copiedBuffer(
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", StandardCharsets.US_ASCII);
            context.write(head);
            context.writeAndFlush(chunk(list.since(known) + "\n"));
            watching.add(context.channel());
        }

        private String wholeAnswer() {
            String body = list.whole();
            int bytes = body.getBytes(StandardCharsets.UTF_8).length;
            return "HTTP/1.1 200 OK\r\nContent-Length: " + bytes + "\r\n\r\n" + body;
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            watching.remove(context.channel());
            silenced.remove(context.channel());
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}

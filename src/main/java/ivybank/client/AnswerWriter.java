package ivybank.client;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import ivybank.common.Clock;
import ivybank.exchange.Answer;
import ivybank.exchange.BodyPipe;
import ivybank.memory.MessageMemory;
import ivybank.memory.Reservation;
import java.math.BigDecimal;

/** Writes the answers of one client connection, at once or as their bodies arrive. Used on one event loop. */
final class AnswerWriter {

    /** Notified when nothing more follows of a streamed body. */
    interface StreamEnd {

        /**
         * Notifies of the end of the body.
         *
         * @param complete whether it has come whole
         */
        void ended(boolean complete);
    }

    /** The timeout for a client that stops reading a long answer. */
    private static final double WRITE_STALL_TIMEOUT_MS = 15_000;

    private final ChannelHandlerContext context;
    private final Clock clock;
    private final MessageMemory memory;
    /** The rest of the answer being written, or null; and the time since when the client has not read any of it, or NaN. */
    private BodyPipe streamedBody;

    /** Whether the last answer that was begun is a streamed one. */
    private boolean lastStreamed;

    private double stalledSinceMs = Double.NaN;
    /** The number of answers that are not written completely. */
    private int unwrittenAnswers;

    /** @param memory where answers are reserved that are being written */
    AnswerWriter(ChannelHandlerContext context, Clock clock, MessageMemory memory) {
        this.context = context;
        this.clock = clock;
        this.memory = memory;
    }

    /** Writes an answer whose body is at hand. */
    ChannelFuture write(Answer answer, boolean keepAlive) {
        lastStreamed = false;
        FullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(answer.status()),
                Unpooled.wrappedBuffer(answer.body()));
        HttpHeaders headers = response.headers();
        headers.setInt(HttpHeaderNames.CONTENT_LENGTH, answer.body().length);
        setType(headers, answer);
        if (answer.retryAfterMs() > 0) {
            headers.set(
                    HttpHeaderNames.RETRY_AFTER,
                    BigDecimal.valueOf((long) Math.ceil(answer.retryAfterMs()), 3)
                            .stripTrailingZeros()
                            .toPlainString());
        }
        HttpUtil.setKeepAlive(response, keepAlive);
        Reservation copy = memory.reservePart(answer.body().length);
        return counted(context.writeAndFlush(response)).addListener(done -> copy.release());
    }

    /** Returns whether a client can tell the end of an answer without the end of its connection. */
    static boolean hasKnownEnd(Answer answer, boolean http10) {
        return answer.remainingBody() == null || !http10 || answer.contentLength() >= 0;
    }

    /**
     * Writes the head of a long answer, and the body as it arrives.
     *
     * @param http10 whether the client uses HTTP/1.0, which has no chunks
     */
    void stream(Answer answer, boolean keepAlive, boolean http10, StreamEnd end) {
        lastStreamed = true;
        HttpResponse response =
                new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(answer.status()));
        HttpHeaders headers = response.headers();
        setType(headers, answer);
        if (answer.contentLength() >= 0) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, answer.contentLength());
        } else if (!http10) {
            headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        }
        HttpUtil.setKeepAlive(response, keepAlive);
        context.write(response);
        streamedBody = answer.remainingBody();
        streamedBody.attach(new BodyPipe.Sink() {
            @Override
            public void write(ByteBuf part, Runnable released) {
                BodyPipe pipe = streamedBody;
                context.writeAndFlush(new DefaultHttpContent(part)).addListener(done -> {
                    released.run();
                    if (!done.isSuccess()) {
                        breakOff(pipe, end);
                    }
                });
                pipe.setDemand(context.channel().isWritable());
            }

            @Override
            public void ended(boolean complete) {
                streamedBody = null;
                end.ended(complete);
            }
        });
    }

    /** Ends a streamed answer of which a part could not be written: nothing behind the gap may reach the client. */
    private void breakOff(BodyPipe pipe, StreamEnd end) {
        if (streamedBody == pipe && context.channel().isActive()) {
            streamedBody = null;
            pipe.abandon();
            end.ended(false);
        }
    }

    /** Writes the end of a streamed answer. */
    ChannelFuture writeStreamEnd() {
        return counted(context.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT));
    }

    private ChannelFuture counted(ChannelFuture written) {
        unwrittenAnswers++;
        return written.addListener(done -> unwrittenAnswers -= done.isSuccess() ? 1 : 0);
    }

    private static void setType(HttpHeaders headers, Answer answer) {
        if (answer.contentType() != null) {
            headers.set(HttpHeaderNames.CONTENT_TYPE, answer.contentType());
        }
    }

    /** Notifies that the client takes more now, or does not. */
    void writabilityChanged() {
        boolean writable = context.channel().isWritable();
        stalledSinceMs = writable ? Double.NaN : clock.nowMs();
        if (streamedBody != null) {
            streamedBody.setDemand(writable);
        }
    }

    /** Returns whether the client has stopped reading for too long. */
    boolean isStalled(double nowMs) {
        return nowMs - stalledSinceMs > WRITE_STALL_TIMEOUT_MS;
    }

    /** Returns whether an answer is being streamed. */
    boolean isStreaming() {
        return streamedBody != null;
    }

    /** Returns whether the last answer that was begun is a streamed one, which takes as long as its client reads it. */
    boolean isLastStreamed() {
        return lastStreamed;
    }

    /** Returns whether an answer is not written completely; a streamed one counts from its end on. */
    boolean hasUnwrittenAnswer() {
        return unwrittenAnswers > 0;
    }

    /** Drops the rest of the answer being streamed, if there is one: nobody takes it any more. */
    void abandon() {
        if (streamedBody != null) {
            streamedBody.abandon();
        }
    }
}

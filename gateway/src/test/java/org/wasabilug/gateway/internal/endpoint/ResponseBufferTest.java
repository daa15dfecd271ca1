package org.wasabilug.gateway.internal.endpoint;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.lang.management.ManagementFactory;
import java.lang.ref.Reference;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class ResponseBufferTest {
    private static final int RECEIVED_BYTES = 16_000;
    private static final int CONCURRENT_RESPONSES = 24;

    /** The limit of all responses and what each of them may take beyond it. */
    private static final long MAX_HEAP_GROWTH_BYTES =
            (24L << 20) + CONCURRENT_RESPONSES * (64L << 10);

    /** What the heap may grow by through other work of the process. */
    private static final long OTHER_HEAP_GROWTH_BYTES = 2L << 20;

    private final ResponseMemory mMemory = new ResponseMemory();
    private final ByteBuf mReceived = Unpooled.wrappedBuffer(new byte[RECEIVED_BYTES]);

    @Test
    void manyResponsesTakeNoMoreMemoryThanTheLimitSays() {
        long before = liveHeapBytes();
        List<ResponseBuffer> responses = fillUpToTheLimit();

        assertThat(liveHeapBytes() - before)
                .isLessThan(MAX_HEAP_GROWTH_BYTES + OTHER_HEAP_GROWTH_BYTES);
        Reference.reachabilityFence(responses);
    }

    @Test
    void aReleasedResponseTakesNoMemoryThoughItIsStillReferenced() {
        long before = liveHeapBytes();
        List<ResponseBuffer> responses = fillUpToTheLimit();

        responses.forEach(ResponseBuffer::release);

        assertThat(liveHeapBytes() - before).isLessThan(OTHER_HEAP_GROWTH_BYTES);
        Reference.reachabilityFence(responses);
    }

    @Test
    void theContentIsWhatWasAppended() {
        ResponseBuffer response = new ResponseBuffer(mMemory);
        byte[] expected = new byte[200_003];
        for (int position = 0; position < expected.length; position++) {
            expected[position] = (byte) (position * 31 >> 3);
        }

        for (int start = 0; start < expected.length; start += 997) {
            int length = Math.min(997, expected.length - start);
            assertThat(response.append(Unpooled.wrappedBuffer(expected, start, length))).isTrue();
        }

        assertThat(response.toByteArray()).isEqualTo(expected);
    }

    @Test
    void aResponseOfTheLargestSizeIsAcceptedAndNotOneByteMore() {
        ResponseBuffer response = new ResponseBuffer(mMemory);

        assertThat(response.append(Unpooled.wrappedBuffer(new byte[8 << 20]))).isTrue();
        assertThat(response.append(Unpooled.wrappedBuffer(new byte[1]))).isFalse();
        assertThat(response.toByteArray()).hasSize(8 << 20);
    }

    private List<ResponseBuffer> fillUpToTheLimit() {
        List<ResponseBuffer> responses = new ArrayList<>();
        for (int number = 0; number < CONCURRENT_RESPONSES; number++) {
            responses.add(new ResponseBuffer(mMemory));
        }
        boolean room = true;
        while (room) {
            for (ResponseBuffer response : responses) {
                room &= response.append(mReceived.duplicate());
            }
        }
        return responses;
    }

    private static long liveHeapBytes() {
        System.gc();
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }
}

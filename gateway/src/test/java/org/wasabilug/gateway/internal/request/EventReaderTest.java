package org.wasabilug.gateway.internal.request;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.lang.management.ManagementFactory;
import java.lang.ref.Reference;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.wasabilug.gateway.internal.endpoint.ResponseMemory;

class EventReaderTest {
    private static final int RECEIVED_BYTES = 30_000;

    /** Together a little more than half of what is allocated for them. */
    private static final int PIECES_OF_AN_EVENT = 5;

    private static final long MAX_HEAP_GROWTH_BYTES = 24L << 20;

    /** What the heap may grow by through other work of the process. */
    private static final long OTHER_HEAP_GROWTH_BYTES = 2L << 20;

    @Test
    void manyIncompleteEventsTakeNoMoreMemoryThanTheLimitSays() {
        ResponseMemory memory = new ResponseMemory();
        ByteBuf received = Unpooled.wrappedBuffer(new byte[RECEIVED_BYTES]);
        List<EventReader> readers = new ArrayList<>();
        long before = liveHeapBytes();

        boolean room = true;
        while (room) {
            EventReader reader = new EventReader(memory, 0, "");
            room = receive(reader, received);
            if (room) {
                readers.add(reader);
            }
        }

        assertThat(readers).hasSizeGreaterThan(10);
        assertThat(liveHeapBytes() - before)
                .isLessThan(MAX_HEAP_GROWTH_BYTES + OTHER_HEAP_GROWTH_BYTES);
        Reference.reachabilityFence(readers);
    }

    private static boolean receive(EventReader reader, ByteBuf received) {
        for (int piece = 0; piece < PIECES_OF_AN_EVENT; piece++) {
            reader.append(received.duplicate(), 0);
            if (!reader.keepsPartial(0)) {
                return false;
            }
        }
        return true;
    }

    private static long liveHeapBytes() {
        System.gc();
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }
}

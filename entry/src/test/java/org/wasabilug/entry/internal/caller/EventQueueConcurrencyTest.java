package org.wasabilug.entry.internal.caller;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.jetbrains.lincheck.datastructures.ModelCheckingOptions;
import org.jetbrains.lincheck.datastructures.Operation;
import org.jetbrains.lincheck.datastructures.Validate;
import org.junit.jupiter.api.Test;
import org.wasabilug.model.StageName;

/** The actor writes while the connection reads; no event may be lost, duplicated or reordered. */
public class EventQueueConcurrencyTest {
    private static final int SATURATION_CHARACTERS = 100;
    private static final int MAXIMUM_CHARACTERS = 1_000;

    @Test
    void deliversEveryEventOnceAndInOrder() {
        new ModelCheckingOptions()
                .threads(2)
                .actorsPerThread(3)
                .iterations(20)
                .invocationsPerIteration(300)
                .sequentialSpecification(AcceptsEverything.class)
                .check(QueueUnderTest.class);
    }

    /** A queue with one writer and one reader, which has at most one read pending. */
    public static class QueueUnderTest {
        private static final StageName STAGE = new StageName("generate");

        private final EventQueue mQueue =
                new EventQueue(SATURATION_CHARACTERS, MAXIMUM_CHARACTERS, () -> {});
        private final List<CompletableFuture<Optional<List<AnswerEvent>>>> mReads =
                new ArrayList<>();
        private int mWritten;

        @Operation(nonParallelGroup = "writer")
        public boolean write() {
            mWritten++;
            return mQueue.add(new AnswerEvent.Part(STAGE, "p" + mWritten));
        }

        @Operation(nonParallelGroup = "reader")
        public boolean read() {
            if (mReads.isEmpty() || mReads.getLast().isDone()) {
                mReads.add(mQueue.next().toCompletableFuture());
            }
            return true;
        }

        @Validate
        public void deliversEventsInOrder() {
            mQueue.close();
            if (mReads.isEmpty() || mReads.getLast().isDone()) {
                mReads.add(mQueue.next().toCompletableFuture());
            }
            List<String> texts = new ArrayList<>();
            mReads.forEach(
                    read ->
                            read.join()
                                    .ifPresent(
                                            events ->
                                                    events.forEach(
                                                            event -> texts.add(textOf(event)))));
            List<String> expected = new ArrayList<>();
            for (int number = 1; number <= mWritten; number++) {
                expected.add("p" + number);
            }
            if (!texts.equals(expected)) {
                throw new IllegalStateException("read " + texts + ", expected " + expected);
            }
        }

        private static String textOf(AnswerEvent event) {
            return event instanceof AnswerEvent.Part part ? part.text() : "end";
        }
    }

    /** Every operation succeeds in any order. */
    public static class AcceptsEverything {
        public boolean write() {
            return true;
        }

        public boolean read() {
            return true;
        }
    }
}

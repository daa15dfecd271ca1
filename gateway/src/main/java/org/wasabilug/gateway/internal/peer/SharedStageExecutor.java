package org.wasabilug.gateway.internal.peer;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import org.wasabilug.gateway.internal.GatewayState;
import org.wasabilug.gateway.internal.RetryReason;
import org.wasabilug.gateway.internal.log.LogLine;
import org.wasabilug.gateway.internal.stage.LocalStageExecutor;
import org.wasabilug.gateway.internal.stage.StageExecutor;
import org.wasabilug.internal.serving.PieceDemand;
import org.wasabilug.internal.serving.PieceFailure;
import org.wasabilug.internal.serving.PieceId;
import org.wasabilug.internal.serving.PieceOutcome;
import org.wasabilug.internal.serving.PieceWork;
import org.wasabilug.internal.serving.Repetition;
import org.wasabilug.internal.serving.RetryPermit;
import org.wasabilug.internal.serving.StageSenders;
import org.wasabilug.messages.gateway.PieceCancellation;
import org.wasabilug.messages.gateway.PieceOrder;
import org.wasabilug.messages.gateway.PieceOrders;
import org.wasabilug.messages.gateway.PieceResult;
import org.wasabilug.messages.gateway.PieceResults;
import org.wasabilug.messages.gateway.ResultRelease;

/**
 * Routes all pieces of a service through one instance, so that calls batch pieces of many requests.
 *
 * <p>All instances that reach each other choose the same sender. If it is lost, the pieces go to
 * the next one; an instance without reachable peers sends its pieces itself.
 */
public final class SharedStageExecutor implements StageExecutor {
    /** No endpoint was asked for the piece. */
    private static final PieceOutcome NOT_TAKEN =
            new PieceOutcome.Failed(PieceFailure.NO_ENDPOINT, false);

    private final GatewayState mState;
    private final PeerNetwork mNetwork;
    private final LocalStageExecutor mLocal;
    private final Map<PieceId, RemotePiece> mRemotePieces = new LinkedHashMap<>();
    private final Map<String, String> mProducers = new LinkedHashMap<>();
    private final Map<String, List<PieceOrder>> mOrdersToSend = new HashMap<>();
    private final Map<String, List<PieceResult>> mResultsToSend = new HashMap<>();
    private final long mMaxPieces;
    private boolean mFlushScheduled;

    /**
     * Creates an executor without work.
     *
     * @param state state of this process
     * @param network the other instances
     * @param local sends the pieces for which this instance is chosen
     */
    public SharedStageExecutor(GatewayState state, PeerNetwork network, LocalStageExecutor local) {
        mState = state;
        mNetwork = network;
        mLocal = local;
        long heapBytes = Runtime.getRuntime().maxMemory();
        long memoryBytes = state.settings().features().callers().memoryBytes(heapBytes);
        mMaxPieces = PieceDemand.piecesWithin(memoryBytes);
    }

    /**
     * A piece that another instance sends to endpoints.
     *
     * @param work the piece
     * @param permit permit of this instance; the other one may use it until the piece has ended
     * @param sender the other instance
     * @param receiver receives the outcome
     */
    private record RemotePiece(
            PieceWork work, RetryPermit permit, String sender, Consumer<PieceOutcome> receiver) {}

    @Override
    public void submit(PieceWork work, Consumer<PieceOutcome> receiver) {
        submit(work, RetryPermit.NONE, receiver);
    }

    private void submit(PieceWork work, RetryPermit permit, Consumer<PieceOutcome> receiver) {
        String sender = chooseSender(work.service());
        if (sender.equals(mState.settings().name())) {
            mLocal.submit(work, permit, receiver);
            return;
        }
        ended(mRemotePieces.put(work.id(), new RemotePiece(work, permit, sender, receiver)));
        mOrdersToSend
                .computeIfAbsent(sender, name -> new ArrayList<>())
                .add(PieceMessages.order(work, mState.nowMillis()));
        scheduleFlush();
    }

    /** Ends the permit of a piece, if there is one: it may have been sent until now. */
    private void ended(RemotePiece piece) {
        if (piece != null) {
            piece.permit().use(mState.nowMillis());
        }
    }

    private String chooseSender(String service) {
        Map<String, Double> live = mNetwork.liveProcessorShares();
        if (live.isEmpty()) {
            return mState.settings().name();
        }
        Map<String, Double> reaching =
                StageSenders.reaching(
                        live, mNetwork::unreachable, mState.directory().groups(service));
        return StageSenders.choose(service, reaching);
    }

    @Override
    public void cancel(String request, List<PieceWork> pieces) {
        Map<String, Set<String>> servicesBySender = new HashMap<>();
        List<PieceWork> local = new ArrayList<>();
        for (PieceWork work : pieces) {
            RemotePiece piece = mRemotePieces.remove(work.id());
            ended(piece);
            if (piece == null) {
                local.add(work);
            } else {
                servicesBySender
                        .computeIfAbsent(piece.sender(), name -> new TreeSet<>())
                        .add(work.service());
            }
        }
        mLocal.cancel(request, local);
        servicesBySender.forEach(
                (sender, services) ->
                        mNetwork.send(
                                sender,
                                mNetwork.envelope()
                                        .setPieceCancellation(
                                                PieceCancellation.newBuilder()
                                                        .setRequest(request)
                                                        .addAllServices(services))
                                        .build()));
    }

    @Override
    public void release(List<String> handles) {
        Map<String, List<String>> byProducer = new HashMap<>();
        List<String> local = new ArrayList<>();
        for (String handle : handles) {
            String producer = mProducers.remove(handle);
            if (producer == null) {
                local.add(handle);
            } else {
                byProducer.computeIfAbsent(producer, name -> new ArrayList<>()).add(handle);
            }
        }
        byProducer.forEach(
                (producer, produced) -> {
                    var release = ResultRelease.newBuilder().addAllHandles(produced);
                    boolean sent =
                            mNetwork.send(
                                    producer,
                                    mNetwork.envelope().setResultRelease(release).build());
                    if (!sent) {
                        local.addAll(produced);
                    }
                });
        if (!local.isEmpty()) {
            mLocal.release(local);
        }
    }

    /**
     * Submits the pieces that a peer ordered.
     *
     * @param peer name of the peer
     * @param orders the orders
     */
    public void ordersReceived(String peer, PieceOrders orders) {
        long now = mState.nowMillis();
        for (PieceOrder order : orders.getOrdersList()) {
            PieceWork work = PieceMessages.work(order, now);
            if (mLocal.pieces() < mMaxPieces) {
                mLocal.submit(work, outcome -> queueResult(peer, work.id(), outcome));
            } else {
                mState.callerLimited("ordered-pieces");
                queueResult(peer, work.id(), NOT_TAKEN);
            }
        }
    }

    private void queueResult(String peer, PieceId id, PieceOutcome outcome) {
        mResultsToSend
                .computeIfAbsent(peer, name -> new ArrayList<>())
                .add(PieceMessages.result(id, outcome));
        scheduleFlush();
    }

    /**
     * Passes on outcomes from a peer.
     *
     * @param peer name of the peer
     * @param results the outcomes
     */
    public void resultsReceived(String peer, PieceResults results) {
        for (PieceResult result : results.getResultsList()) {
            PieceOutcome outcome = PieceMessages.outcome(result);
            if (outcome instanceof PieceOutcome.Produced produced) {
                mProducers.put(produced.handle(), peer);
            }
            PieceId id = PieceMessages.id(result);
            RemotePiece piece = mRemotePieces.get(id);
            // The outcome of an earlier order says nothing about one that another peer has now.
            if (piece != null && piece.sender().equals(peer)) {
                ended(mRemotePieces.remove(id));
                piece.receiver().accept(outcome);
            } else if (outcome instanceof PieceOutcome.Produced produced) {
                release(List.of(produced.handle()));
            }
        }
    }

    /**
     * Cancels pieces for a peer.
     *
     * @param cancellation the pieces to cancel
     */
    public void cancellationReceived(PieceCancellation cancellation) {
        mLocal.cancelServices(cancellation.getRequest(), cancellation.getServicesList());
    }

    /**
     * Releases results for a peer.
     *
     * @param release the results to release
     */
    public void releaseReceived(ResultRelease release) {
        mLocal.release(release.getHandlesList());
    }

    /**
     * Resubmits the pieces of a lost peer.
     *
     * @param peer name of the peer
     */
    public void peerLost(String peer) {
        List<RemotePiece> open = new ArrayList<>();
        for (RemotePiece piece : mRemotePieces.values()) {
            if (piece.sender().equals(peer)) {
                open.add(piece);
            }
        }
        for (RemotePiece piece : open) {
            mRemotePieces.remove(piece.work().id());
            ended(piece);
            resubmit(piece);
        }
        mOrdersToSend.remove(peer);
        if (!open.isEmpty()) {
            mState.log()
                    .process(
                            LogLine.of("pieces-ordered-again")
                                    .with("lost", peer)
                                    .with("count", open.size()));
        }
    }

    /** Orders a piece again; without a permit of this instance its next sender has to ask. */
    private void resubmit(RemotePiece piece) {
        PieceWork work = piece.work();
        Optional<RetryPermit> permit =
                mState.retryPermits()
                        .tryReserve(work.service(), work.id().request(), RetryReason.LOST_SENDER);
        submit(
                work.repeated(permit.isPresent() ? Repetition.PERMITTED : Repetition.UNPERMITTED),
                permit.orElse(RetryPermit.NONE),
                piece.receiver());
    }

    /** Batches pieces that are submitted at the same time into one message. */
    private void scheduleFlush() {
        if (!mFlushScheduled) {
            mFlushScheduled = true;
            mState.loop().execute(this::flush);
        }
    }

    private void flush() {
        mFlushScheduled = false;
        Map<String, List<PieceOrder>> orders = new HashMap<>(mOrdersToSend);
        mOrdersToSend.clear();
        orders.forEach(this::sendOrders);
        mResultsToSend.forEach(this::sendResults);
        mResultsToSend.clear();
    }

    private void sendResults(String peer, List<PieceResult> results) {
        boolean sent =
                mNetwork.send(
                        peer,
                        mNetwork.envelope()
                                .setPieceResults(PieceResults.newBuilder().addAllResults(results))
                                .build());
        if (!sent) {
            logNotSent("results-not-sent", peer, results.size());
        }
    }

    private void logNotSent(String event, String peer, int count) {
        mState.log().process(LogLine.of(event).with("peer", peer).with("count", count));
    }

    private void sendOrders(String peer, List<PieceOrder> orders) {
        boolean sent =
                mNetwork.send(
                        peer,
                        mNetwork.envelope()
                                .setPieceOrders(PieceOrders.newBuilder().addAllOrders(orders))
                                .build());
        if (sent) {
            return;
        }
        logNotSent("orders-not-sent", peer, orders.size());
        for (PieceOrder order : orders) {
            PieceWork work = PieceMessages.work(order, mState.nowMillis());
            RemotePiece piece = mRemotePieces.remove(work.id());
            if (piece != null) {
                mLocal.submit(piece.work(), piece.permit(), piece.receiver());
            }
        }
    }

    /**
     * Evicts the producers of the oldest results, which have expired.
     *
     * @param maximum number of results to keep
     */
    public void evictProducers(int maximum) {
        var iterator = mProducers.entrySet().iterator();
        while (mProducers.size() > maximum && iterator.hasNext()) {
            iterator.next();
            iterator.remove();
        }
    }
}

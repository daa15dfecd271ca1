package org.wasabilug.gateway.internal.peer;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import org.wasabilug.gateway.internal.GatewayState;
import org.wasabilug.gateway.internal.log.LogLine;
import org.wasabilug.gateway.internal.stage.LocalStageExecutor;
import org.wasabilug.gateway.internal.stage.StageExecutor;
import org.wasabilug.internal.serving.PieceFailure;
import org.wasabilug.internal.serving.PieceId;
import org.wasabilug.internal.serving.PieceOutcome;
import org.wasabilug.internal.serving.PieceWork;
import org.wasabilug.internal.serving.RendezvousHashing;
import org.wasabilug.messages.gateway.PieceCancellation;
import org.wasabilug.messages.gateway.PieceOrder;
import org.wasabilug.messages.gateway.PieceOrders;
import org.wasabilug.messages.gateway.PieceResult;
import org.wasabilug.messages.gateway.PieceResults;
import org.wasabilug.messages.gateway.ResultRelease;

/**
 * Has all pieces of a service sent by one instance, so that calls hold pieces of many requests.
 *
 * <p>All instances that hear each other choose the same one, by hash. Where it is lost, the pieces
 * go to the next; an instance that hears nobody sends its own.
 */
public final class SharedStageExecutor implements StageExecutor {
    private final GatewayState mState;
    private final PeerNetwork mNetwork;
    private final LocalStageExecutor mLocal;
    private final Map<PieceId, RemotePiece> mRemotePieces = new LinkedHashMap<>();
    private final Map<String, String> mProducers = new LinkedHashMap<>();
    private final Map<String, List<PieceOrder>> mOrdersToSend = new HashMap<>();
    private final Map<String, List<PieceResult>> mResultsToSend = new HashMap<>();
    private boolean mFlushScheduled;

    /**
     * Makes an executor.
     *
     * @param state what this instance knows
     * @param network the other instances
     * @param local sends the pieces for which this instance is chosen
     */
    public SharedStageExecutor(GatewayState state, PeerNetwork network, LocalStageExecutor local) {
        mState = state;
        mNetwork = network;
        mLocal = local;
    }

    /** A piece that another instance has produced. */
    private record RemotePiece(PieceWork work, String sender, Consumer<PieceOutcome> receiver) {}

    @Override
    public void submit(PieceWork work, Consumer<PieceOutcome> receiver) {
        String sender = chosenFor(work.service());
        if (sender.equals(mState.settings().name())) {
            mLocal.submit(work, receiver);
            return;
        }
        mRemotePieces.put(work.id(), new RemotePiece(work, sender, receiver));
        mOrdersToSend
                .computeIfAbsent(sender, name -> new ArrayList<>())
                .add(PieceMessages.order(work, mState.nowMillis()));
        scheduleFlush();
    }

    private String chosenFor(String service) {
        Set<String> live = mNetwork.live();
        return live.isEmpty()
                ? mState.settings().name()
                : RendezvousHashing.choose(service, live, 1).getFirst();
    }

    @Override
    public void cancel(String request, List<PieceWork> pieces) {
        Map<String, Set<String>> servicesBySender = new HashMap<>();
        List<PieceWork> own = new ArrayList<>();
        for (PieceWork work : pieces) {
            RemotePiece ordered = mRemotePieces.remove(work.id());
            if (ordered == null) {
                own.add(work);
            } else {
                servicesBySender
                        .computeIfAbsent(ordered.sender(), name -> new TreeSet<>())
                        .add(work.service());
            }
        }
        mLocal.cancel(request, own);
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
        Map<String, List<String>> byMaker = new HashMap<>();
        List<String> own = new ArrayList<>();
        for (String handle : handles) {
            String maker = mProducers.remove(handle);
            if (maker == null) {
                own.add(handle);
            } else {
                byMaker.computeIfAbsent(maker, name -> new ArrayList<>()).add(handle);
            }
        }
        byMaker.forEach(
                (maker, made) -> {
                    var release = ResultRelease.newBuilder().addAllHandles(made);
                    boolean sent =
                            mNetwork.send(
                                    maker, mNetwork.envelope().setResultRelease(release).build());
                    if (!sent) {
                        own.addAll(made);
                    }
                });
        if (!own.isEmpty()) {
            mLocal.release(own);
        }
    }

    /**
     * Takes orders of a peer.
     *
     * @param peer its name
     * @param orders the orders
     */
    public void ordersReceived(String peer, PieceOrders orders) {
        long now = mState.nowMillis();
        for (PieceOrder order : orders.getOrdersList()) {
            PieceWork work = PieceMessages.work(order, now);
            mLocal.submit(work, outcome -> queueResult(peer, work.id(), outcome));
        }
    }

    private void queueResult(String peer, PieceId id, PieceOutcome outcome) {
        mResultsToSend
                .computeIfAbsent(peer, name -> new ArrayList<>())
                .add(PieceMessages.result(id, outcome));
        scheduleFlush();
    }

    /**
     * Takes outcomes from a peer.
     *
     * @param peer its name
     * @param resultsReceived the outcomes
     */
    public void resultsReceived(String peer, PieceResults results) {
        for (PieceResult result : results.getResultsList()) {
            PieceOutcome outcome = PieceMessages.outcome(result);
            if (outcome instanceof PieceOutcome.Produced produced) {
                mProducers.put(produced.handle(), peer);
            }
            RemotePiece ordered = mRemotePieces.remove(PieceMessages.id(result));
            if (ordered != null) {
                ordered.receiver().accept(outcome);
            } else if (outcome instanceof PieceOutcome.Produced produced) {
                release(List.of(produced.handle()));
            }
        }
    }

    /**
     * Takes a peer's cancellation.
     *
     * @param cancellation what need not be produced
     */
    public void cancellationReceived(PieceCancellation cancellation) {
        mLocal.cancelServices(cancellation.getRequest(), cancellation.getServicesList());
    }

    /**
     * Takes a peer's release of results.
     *
     * @param release what is not needed
     */
    public void releaseReceived(ResultRelease release) {
        mLocal.release(release.getHandlesList());
    }

    /**
     * Gives the pieces of a lost peer to others.
     *
     * @param peer its name
     */
    public void peerLost(String peer) {
        List<RemotePiece> open = new ArrayList<>();
        for (RemotePiece ordered : mRemotePieces.values()) {
            if (ordered.sender().equals(peer)) {
                open.add(ordered);
            }
        }
        for (RemotePiece ordered : open) {
            mRemotePieces.remove(ordered.work().id());
            resubmit(ordered);
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

    private void resubmit(RemotePiece ordered) {
        String service = ordered.work().service();
        if (mState.retries().tryAcquire(service, mState.instances(), mState.nowMillis())) {
            submit(ordered.work().repeated(), ordered.receiver());
        } else {
            ordered.receiver().accept(new PieceOutcome.Failed(PieceFailure.ERROR));
        }
    }

    /** Pieces of one moment share a message. */
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
        mResultsToSend.forEach(
                (peer, results) ->
                        mNetwork.send(
                                peer,
                                mNetwork.envelope()
                                        .setPieceResults(
                                                PieceResults.newBuilder().addAllResults(results))
                                        .build()));
        mResultsToSend.clear();
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
        for (PieceOrder order : orders) {
            PieceWork work = PieceMessages.work(order, mState.nowMillis());
            RemotePiece ordered = mRemotePieces.remove(work.id());
            if (ordered != null) {
                mLocal.submit(ordered.work(), ordered.receiver());
            }
        }
    }

    /**
     * Forgets which peer made the oldest results; they have lapsed.
     *
     * @param most number to keep
     */
    public void evictProducers(int most) {
        var iterator = mProducers.entrySet().iterator();
        while (mProducers.size() > most && iterator.hasNext()) {
            iterator.next();
            iterator.remove();
        }
    }
}

package org.wasabilug.gateway.internal.request;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.wasabilug.gateway.internal.GatewayState;
import org.wasabilug.gateway.internal.caller.CallerEvents;
import org.wasabilug.gateway.internal.caller.CallerExchange;
import org.wasabilug.gateway.internal.log.LogLine;
import org.wasabilug.gateway.internal.stage.StageExecutor;
import org.wasabilug.gateway.protocol.HeaderNames;
import org.wasabilug.internal.serving.PromptSize;
import org.wasabilug.internal.serving.RouteTable;
import org.wasabilug.serving.RequestKind;
import org.wasabilug.serving.Route;
import org.wasabilug.serving.ServiceSpecification;
import org.wasabilug.serving.ServingConfiguration;
import org.wasabilug.serving.WeightedService;
import org.wasabilug.serving.WorkspaceKeys;

/** Determines route and workspace of each request and starts to serve it. */
public final class RequestReceiver implements CallerEvents {
    /** Other instances can accept the request at once. */
    private static final long STOPPING_RETRY_MILLIS = 50;

    private static final long NO_CONFIGURATION_RETRY_MILLIS = 500;
    private static final long MAX_CALLER_DEADLINE_MILLIS = TimeUnit.DAYS.toMillis(1);

    private final GatewayState mState;
    private final StageExecutor mStages;
    private final StreamOriginRegistry mOrigins;
    private final CrashSuspectRegistry mCrashSuspects;
    private final GatewayResponses mGatewayResponses;
    private final PieceAdmission mPieceAdmission;

    /**
     * Creates a receiver.
     *
     * @param state state of this process
     * @param stages executes the stages of requests
     * @param origins knows where streams began that callers resume
     * @param crashSuspects knows which requests crash endpoints
     */
    public RequestReceiver(
            GatewayState state,
            StageExecutor stages,
            StreamOriginRegistry origins,
            CrashSuspectRegistry crashSuspects) {
        mState = state;
        mStages = stages;
        mOrigins = origins;
        mCrashSuspects = crashSuspects;
        mGatewayResponses = new GatewayResponses(state);
        mPieceAdmission = new PieceAdmission(state);
    }

    @Override
    public void received(CallerExchange exchange) {
        Optional<RouteTable> routes = mState.routes();
        if (routes.isEmpty()) {
            mGatewayResponses.notRun(
                    exchange, "no configuration loaded yet", NO_CONFIGURATION_RETRY_MILLIS);
            return;
        }
        HttpHeaders headers = exchange.head().headers();
        Optional<Route> route = routes.get().find(headers.get("Host", ""), exchange.head().uri());
        if (route.isEmpty()) {
            mGatewayResponses.rejected(
                    exchange, HttpResponseStatus.NOT_FOUND, "no route matches the request");
            return;
        }
        Optional<WorkspaceKeys> workspace = workspace(routes.get(), headers);
        if (workspace.isEmpty() && needsKey(routes.get().configuration(), route.get())) {
            mGatewayResponses.rejected(
                    exchange, HttpResponseStatus.UNAUTHORIZED, "unknown API key");
            return;
        }
        if (headers.get(names().requestId(), "").isEmpty()) {
            mGatewayResponses.rejected(
                    exchange, HttpResponseStatus.BAD_REQUEST, "missing request id");
            return;
        }
        serve(exchange, routes.get(), route.get(), workspace);
    }

    private static boolean needsKey(ServingConfiguration configuration, Route route) {
        return configuration.authenticated() && !route.anonymous();
    }

    private Optional<WorkspaceKeys> workspace(RouteTable routes, HttpHeaders headers) {
        String authorization = headers.get(names().authorization());
        if (authorization == null) {
            return Optional.empty();
        }
        return mState.protocol().callerKey(authorization).flatMap(routes::findWorkspace);
    }

    private void serve(
            CallerExchange exchange,
            RouteTable routes,
            Route route,
            Optional<WorkspaceKeys> workspace) {
        Optional<ServiceSpecification> service = chooseService(routes, route);
        if (service.isEmpty()) {
            mGatewayResponses.notRun(
                    exchange,
                    "service of the route is not configured",
                    NO_CONFIGURATION_RETRY_MILLIS);
            return;
        }
        RequestContext request = context(exchange, route, service.get(), workspace);
        if (request.deadline().millis() <= mState.nowMillis()) {
            mGatewayResponses.timedOut(exchange, "deadline has passed");
        } else if (!mayBegin(request)) {
            mGatewayResponses.notRun(exchange, "this instance is stopping", STOPPING_RETRY_MILLIS);
        } else {
            serve(request);
        }
    }

    private void serve(RequestContext request) {
        CrashGuard guard = new CrashGuard(mState, mCrashSuspects, request);
        if (!guard.mayBegin()) {
            mGatewayResponses.notRun(
                    request.exchange(), CrashGuard.REASON, CrashGuard.RETRY_MILLIS);
        } else if (request.route().kind() == RequestKind.STREAM) {
            stream(request, guard);
        } else {
            new BufferedFlow(mState, request, guard, mGatewayResponses).start();
        }
    }

    private void stream(RequestContext request, CrashGuard guard) {
        CallerExchange exchange = request.exchange();
        switch (mPieceAdmission.admit(request)) {
            case PieceAdmission.Admitted() ->
                    new StreamFlow(mState, request, guard, mGatewayResponses, mStages, mOrigins)
                            .start();
            case PieceAdmission.Invalid(String reason) ->
                    mGatewayResponses.rejected(exchange, HttpResponseStatus.BAD_REQUEST, reason);
            case PieceAdmission.NotNow(String reason, long retryAfterMillis) ->
                    mGatewayResponses.notRun(exchange, reason, retryAfterMillis);
        }
    }

    private boolean mayBegin(RequestContext request) {
        return mState.stop()
                .map(stop -> stop.mayStart(mState.nowMillis(), request.deadline().millis()))
                .orElse(true);
    }

    private RequestContext context(
            CallerExchange exchange,
            Route route,
            ServiceSpecification service,
            Optional<WorkspaceKeys> workspace) {
        HttpHeaders headers = exchange.head().headers();
        long received = exchange.receivedMillis();
        List<Integer> tokens = mState.protocol().counts(headers.get(names().tokenCounts(), ""));
        PromptSize prompt =
                tokens.isEmpty()
                        ? PromptSize.NONE
                        : PromptSize.of(
                                tokens.getFirst(),
                                tokens.size() > 1 ? tokens.get(1) : 0,
                                mState.protocol()
                                        .promptParts(headers.get(names().promptParts(), "")));
        // The sum orders workspaces on one route, and routes within one workspace.
        int rank =
                route.rank()
                        + workspace.map(WorkspaceKeys::rank).filter(each -> each >= 0).orElse(0);
        return new RequestContext(
                headers.get(names().requestId()),
                exchange,
                route,
                service,
                workspace.map(WorkspaceKeys::workspace),
                rank,
                received + route.objectiveMillis(),
                new RequestDeadline(mState, exchange, route, callerDeadline(headers)),
                prompt,
                mState.protocol().counts(headers.get(names().pieceCounts(), "")),
                headers.get(names().pieceKey(), ""));
    }

    /** Returns how long the caller waits, in milliseconds; empty if it does not say so. */
    private Optional<Long> callerDeadline(HttpHeaders headers) {
        String value = headers.get(names().deadline(), "");
        if (value.isEmpty()) {
            return Optional.empty();
        }
        try {
            long millis = (long) Double.parseDouble(value);
            return Optional.of(Math.min(millis, MAX_CALLER_DEADLINE_MILLIS));
        } catch (NumberFormatException invalid) {
            mState.log().request(LogLine.of("unreadable-deadline").with("value", value));
            return Optional.empty();
        }
    }

    private static Optional<ServiceSpecification> chooseService(RouteTable routes, Route route) {
        double totalWeight = route.services().stream().mapToDouble(WeightedService::weight).sum();
        double position = ThreadLocalRandom.current().nextDouble() * totalWeight;
        String chosen = "";
        for (WeightedService each : route.services()) {
            if (each.weight() <= 0) {
                continue;
            }
            chosen = each.service();
            position -= each.weight();
            if (position < 0) {
                break;
            }
        }
        return routes.findService(chosen);
    }

    private HeaderNames names() {
        return mState.protocol().headers();
    }

    @Override
    public void unanswered(String reason, int requests) {
        mState.log()
                .request(
                        LogLine.of("requests-unanswered")
                                .with("requests", requests)
                                .with("reason", reason));
    }

    @Override
    public void limited(String limit) {
        mState.callerLimited(limit);
    }

    @Override
    public void refused(HttpResponseStatus status) {
        mState.log().request(LogLine.of("request-refused").with("status", status.code()));
    }
}

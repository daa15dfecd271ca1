package org.wasabilug.gateway.internal.explain;

import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.wasabilug.gateway.internal.GatewayState;
import org.wasabilug.internal.rollout.SendKind;
import org.wasabilug.internal.serving.EndpointGroup;
import org.wasabilug.internal.serving.EndpointState;
import org.wasabilug.internal.serving.PromptSize;
import org.wasabilug.internal.serving.SelectionExplainer;
import org.wasabilug.internal.serving.SelectionExplainer.Assessment;
import org.wasabilug.internal.serving.SelectionRequest;
import org.wasabilug.serving.Route;
import org.wasabilug.serving.ServiceSpecification;
import org.wasabilug.serving.WeightedService;

/**
 * Explains where this instance would send a request now, and why; sends nothing and changes no
 * state.
 *
 * <p>It knows neither the caller's key nor the content, so it does not tell whether the request
 * would be refused for these. Stages are left out.
 */
public final class RequestExplainer {
    private final GatewayState mState;
    private final SelectionExplainer mSelection;

    /**
     * Creates an explainer.
     *
     * @param state state of the process
     */
    public RequestExplainer(GatewayState state) {
        mState = state;
        mSelection = new SelectionExplainer(state.selector());
    }

    /**
     * Explains a request.
     *
     * @param target path and query, with the parameters {@code host} and {@code path}, and {@code
     *     tokens} and {@code prefix} as in the headers of a request
     * @return JSON
     */
    public String explain(String target) {
        QueryStringDecoder query = new QueryStringDecoder(target);
        Optional<Route> route =
                mState.routes()
                        .flatMap(
                                routes ->
                                        routes.find(
                                                parameter(query, "host"),
                                                parameter(query, "path")));
        if (route.isEmpty()) {
            return mState.routes().isEmpty()
                    ? refused(new JsonText(), "no configuration loaded yet").toString()
                    : refused(new JsonText(), "no route matches the request").toString();
        }
        JsonText answer = new JsonText().with("route", route.get().name());
        if (mState.stop().isPresent()) {
            refused(answer, "this instance is stopping");
        }
        PromptSize prompt = prompt(query);
        List<JsonText> services = new ArrayList<>();
        for (WeightedService each : route.get().services()) {
            services.add(service(each, prompt));
        }
        return answer.with("services", services).toString();
    }

    private static JsonText refused(JsonText answer, String reason) {
        return answer.with("refused", true).with("reason", reason);
    }

    private static String parameter(QueryStringDecoder query, String name) {
        return query.parameters().getOrDefault(name, List.of("")).getFirst();
    }

    private PromptSize prompt(QueryStringDecoder query) {
        List<Integer> tokens = mState.protocol().counts(parameter(query, "tokens"));
        return tokens.isEmpty()
                ? PromptSize.NONE
                : PromptSize.of(
                        tokens.getFirst(),
                        tokens.size() > 1 ? tokens.get(1) : 0,
                        mState.protocol().promptParts(parameter(query, "prefix")));
    }

    private JsonText service(WeightedService weighted, PromptSize prompt) {
        String name = weighted.service();
        JsonText answer =
                new JsonText()
                        .with("service", name)
                        .with("weight", Double.toString(weighted.weight()));
        Optional<ServiceSpecification> service = mState.service(name);
        if (service.isEmpty()) {
            return refused(answer, "service of the route is not configured");
        }
        List<EndpointState> usable =
                mState.rollouts().permitted(name, mState.usable(name), SendKind.FIRST);
        List<Assessment> assessments =
                mSelection.explain(request(service.get(), prompt), usable, mState.nowMillis());
        List<JsonText> endpoints = new ArrayList<>();
        assessments.forEach(each -> endpoints.add(endpoint(each)));
        mState.directory().all().stream()
                .filter(each -> each.registration().service().equals(name))
                .filter(each -> !usable.contains(each))
                .forEach(each -> endpoints.add(endpoint(each).with("refusal", unusable(each))));
        Optional<Assessment> chosen = assessments.stream().filter(Assessment::chosen).findFirst();
        if (chosen.isPresent()) {
            answer.with("chosen", chosen.get().endpoint().registration().name());
        } else {
            refused(answer, usable.isEmpty() ? "no endpoint is usable" : reasons(assessments));
        }
        return answer.with("endpoints", endpoints);
    }

    private static String reasons(List<Assessment> assessments) {
        return "no endpoint may be chosen: "
                + String.join(
                        ", ",
                        assessments.stream()
                                .flatMap(each -> each.refusal().stream())
                                .distinct()
                                .toList());
    }

    private SelectionRequest request(ServiceSpecification service, PromptSize prompt) {
        return new SelectionRequest(
                service,
                Set.of(),
                Optional.empty(),
                mState.settings().failureDomain(),
                false,
                prompt,
                mState.rejectionMonitor().fleet());
    }

    private JsonText endpoint(Assessment assessment) {
        JsonText answer =
                endpoint(assessment.endpoint())
                        .with("predicted", Math.round(assessment.costMillis()));
        assessment.refusal().ifPresent(refusal -> answer.with("refusal", refusal));
        return answer;
    }

    private JsonText endpoint(EndpointState endpoint) {
        return new JsonText()
                .with("endpoint", endpoint.registration().name())
                .with("domain", endpoint.registration().failureDomain())
                .with("software", endpoint.registration().softwareVersion())
                .with("running", endpoint.load().running())
                .with("cold", endpoint.isCold(mState.nowMillis()));
    }

    /** Returns why an endpoint is not among those that the selector is given. */
    private String unusable(EndpointState endpoint) {
        if (endpoint.leaving()) {
            return "leaving";
        }
        String domain = endpoint.registration().failureDomain();
        if (mState.directory().domainsOutOfService().contains(domain)) {
            return "out of service";
        }
        if (mState.usable(endpoint.registration().service()).contains(endpoint)) {
            return "kept from first sends by a rollout";
        }
        EndpointGroup group = EndpointGroup.of(endpoint.registration());
        return mState.reachability().isReachable(group) ? "gone" : "not reachable";
    }
}

package org.wasabilug.demo;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.wasabilug.internal.ticket.TicketCodec;
import org.wasabilug.model.ChangeTicket;
import org.wasabilug.model.ConfigurationObject;
import org.wasabilug.model.DomainState;
import org.wasabilug.model.Endpoint;
import org.wasabilug.model.FailureDomain;
import org.wasabilug.model.FailureDomainName;
import org.wasabilug.model.ObjectChange;
import org.wasabilug.model.OperatorName;
import org.wasabilug.model.Pipeline;
import org.wasabilug.model.PipelineName;
import org.wasabilug.model.Pool;
import org.wasabilug.model.PoolName;
import org.wasabilug.model.Stage;
import org.wasabilug.model.StageName;
import org.wasabilug.model.Workspace;
import org.wasabilug.model.WorkspaceName;

/** Tickets of the demonstration, in the format of ticket files. */
final class DemoTickets {
    static final String PIPELINE = "certificates";
    private static final long FIRST_NUMBER = 1;

    private DemoTickets() {}

    /** Returns a ticket that creates the whole configuration of the demonstration. */
    static String createAll(List<Endpoint> endpoints) {
        List<ConfigurationObject> objects = new ArrayList<>();
        DemoStandIns.DOMAINS.forEach(name -> objects.add(domain(name, DomainState.IN_SERVICE)));
        DemoStandIns.POOLS.forEach(
                name -> objects.add(Pool.builder().name(new PoolName(name)).build()));
        objects.addAll(endpoints);
        objects.add(pipeline());
        objects.add(workspace());
        return ticket(FIRST_NUMBER, objects);
    }

    static String setDomainState(long number, String domain, DomainState state) {
        return ticket(number, List.of(domain(domain, state)));
    }

    static String ticket(long number, List<ConfigurationObject> objects) {
        List<ObjectChange> changes =
                objects.stream()
                        .map(object -> new ObjectChange(object.objectKey(), Optional.of(object)))
                        .toList();
        return TicketCodec.write(
                new ChangeTicket(number, new OperatorName(DemoKeys.OPERATOR), changes));
    }

    static FailureDomain domain(String name, DomainState state) {
        return FailureDomain.builder()
                .name(new FailureDomainName(name))
                .region("brittany")
                .state(state)
                .build();
    }

    private static Pipeline pipeline() {
        return Pipeline.builder()
                .name(new PipelineName(PIPELINE))
                .stages(
                        List.of(
                                stage("encode", "encoders"),
                                stage("retrieve", "retrievers", "encode"),
                                stage("rerank", "rerankers", "retrieve"),
                                stage("generate", "generators", "rerank")))
                .build();
    }

    private static Stage stage(String name, String pool, String... after) {
        return new Stage(
                new StageName(name),
                new PoolName(pool),
                true,
                List.of(after).stream().map(StageName::new).toList());
    }

    private static Workspace workspace() {
        return Workspace.builder()
                .name(new WorkspaceName(DemoKeys.WORKSPACE))
                .key(DemoKeys.hash(DemoKeys.WORKSPACE_KEY))
                .pipelines(Set.of(new PipelineName(PIPELINE)))
                .build();
    }
}

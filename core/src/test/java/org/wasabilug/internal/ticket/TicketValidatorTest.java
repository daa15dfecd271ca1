package org.wasabilug.internal.ticket;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.URI;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.wasabilug.internal.configuration.Configuration;
import org.wasabilug.model.ChangeTicket;
import org.wasabilug.model.ConfigurationObject;
import org.wasabilug.model.Endpoint;
import org.wasabilug.model.Finding;
import org.wasabilug.model.ObjectChange;
import org.wasabilug.model.ObjectKey;
import org.wasabilug.model.ObjectKind;
import org.wasabilug.model.OperatorName;
import org.wasabilug.model.Pipeline;
import org.wasabilug.model.PipelineName;
import org.wasabilug.model.PoolName;
import org.wasabilug.model.Stage;
import org.wasabilug.model.StageName;
import org.wasabilug.model.Workspace;

class TicketValidatorTest {
    private static final List<ConfigurationObject> OBJECTS = TicketCodecTest.oneOfEachKind();
    private static final Endpoint ENDPOINT = find(Endpoint.class);
    private static final Pipeline PIPELINE = find(Pipeline.class);
    private static final Workspace WORKSPACE = find(Workspace.class);

    private static <T> T find(Class<T> type) {
        return OBJECTS.stream().filter(type::isInstance).map(type::cast).findFirst().orElseThrow();
    }

    private static ChangeTicket ticket(long number, ObjectChange... changes) {
        return new ChangeTicket(number, new OperatorName("anne"), Arrays.asList(changes));
    }

    private static ObjectChange change(ConfigurationObject state) {
        return new ObjectChange(state.objectKey(), Optional.of(state));
    }

    private static ObjectChange removal(ObjectKind kind, String name) {
        return new ObjectChange(new ObjectKey(kind, name), Optional.empty());
    }

    private static Configuration configured() {
        ObjectChange[] all =
                OBJECTS.stream().map(TicketValidatorTest::change).toArray(ObjectChange[]::new);
        return Configuration.empty().merge(TicketCodec.objectsOf(ticket(1, all)));
    }

    private static List<String> places(ObjectChange... changes) {
        return TicketValidator.check(ticket(2, changes), configured()).stream()
                .map(Finding::place)
                .toList();
    }

    @Test
    void acceptsReferencesBetweenObjectsOfTheSameTicket() {
        ObjectChange[] all =
                OBJECTS.reversed().stream()
                        .map(TicketValidatorTest::change)
                        .toArray(ObjectChange[]::new);

        assertThat(TicketValidator.check(ticket(1, all), Configuration.empty())).isEmpty();
    }

    @Test
    void reportsReferencesToObjectsThatAreNotConfigured() {
        ObjectChange[] dangling =
                List.of(ENDPOINT, PIPELINE, WORKSPACE, OBJECTS.getLast()).stream()
                        .map(TicketValidatorTest::change)
                        .toArray(ObjectChange[]::new);

        List<Finding> findings = TicketValidator.check(ticket(1, dangling), Configuration.empty());

        assertThat(findings)
                .extracting(Finding::place)
                .containsExactly(
                        "changes[0].state.pool",
                        "changes[0].state.failureDomain",
                        "changes[1].state.stages[0].pool");
    }

    @Test
    void reportsRemovalOfObjectsThatAreStillReferenced() {
        assertThat(
                        places(
                                removal(ObjectKind.POOL, "encoders"),
                                removal(ObjectKind.ENDPOINT, "rennes-1"),
                                removal(ObjectKind.PIPELINE, "certificates")))
                .containsExactlyInAnyOrder("changes[1]", "changes[2]");
    }

    @Test
    void allowsRemovalTogetherWithTheReferringObject() {
        assertThat(
                        places(
                                removal(ObjectKind.ENDPOINT, "rennes-1"),
                                removal(ObjectKind.ENGINE_TARGET, "rennes-1")))
                .isEmpty();
    }

    @Test
    void reportsLimitsOutOfRange() {
        assertThat(
                        places(
                                change(ENDPOINT.toBuilder().coldLimit(17).build()),
                                change(
                                        PIPELINE.toBuilder()
                                                .deadline(Duration.ofMinutes(11))
                                                .build()),
                                change(
                                        WORKSPACE.toBuilder()
                                                .requestsPerSecond(Double.NaN)
                                                .shareWeight(0)
                                                .build())))
                .containsExactly(
                        "changes[0].state.coldLimit",
                        "changes[1].state.deadlineMilliseconds",
                        "changes[2].state.requestsPerSecond",
                        "changes[2].state.shareWeight");
    }

    @Test
    void reportsStagesThatReadLaterStagesOrRepeatNames() {
        PoolName pool = new PoolName("encoders");
        StageName first = new StageName("first");
        StageName second = new StageName("second");
        Pipeline pipeline =
                PIPELINE.toBuilder()
                        .stages(
                                List.of(
                                        new Stage(first, pool, true, List.of(second)),
                                        new Stage(second, pool, true, List.of(first, first)),
                                        new Stage(first, pool, true, List.of())))
                        .build();

        assertThat(places(change(pipeline)))
                .containsExactly(
                        "changes[0].state.stages[0].after[0]",
                        "changes[0].state.stages[1].after[1]",
                        "changes[0].state.stages[2].name");
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "https://10.0.0.7:8000",
                "http://engine.example:8000",
                "http://10.0.0.7",
                "http://10.0.0.7:0",
                "http://10.0.0.7:70000",
                "http://10.0.0.7:8000/path",
                "mailto:anne"
            })
    void reportsAddressesWithoutIpNumberAndPort(String address) {
        Endpoint endpoint = ENDPOINT.toBuilder().address(URI.create(address)).build();

        assertThat(places(change(endpoint))).containsExactly("changes[0].state.address");
    }

    @Test
    void reportsServicesThatAreNotExposed() {
        Workspace workspace =
                WORKSPACE.toBuilder()
                        .pipelines(Set.of(new PipelineName("certificates")))
                        .services(Set.of(new PoolName("encoders")))
                        .build();

        assertThat(places(change(workspace))).containsExactly("changes[0].state.services");
    }
}

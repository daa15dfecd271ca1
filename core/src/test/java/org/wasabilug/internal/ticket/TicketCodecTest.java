package org.wasabilug.internal.ticket;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.wasabilug.model.ChangeTicket;
import org.wasabilug.model.ConfigurationObject;
import org.wasabilug.model.Endpoint;
import org.wasabilug.model.EndpointName;
import org.wasabilug.model.EngineTarget;
import org.wasabilug.model.FailureDomain;
import org.wasabilug.model.FailureDomainName;
import org.wasabilug.model.Finding;
import org.wasabilug.model.ObjectChange;
import org.wasabilug.model.ObjectKey;
import org.wasabilug.model.ObjectKind;
import org.wasabilug.model.OperatorAccount;
import org.wasabilug.model.OperatorName;
import org.wasabilug.model.Pipeline;
import org.wasabilug.model.PipelineName;
import org.wasabilug.model.Pool;
import org.wasabilug.model.PoolName;
import org.wasabilug.model.SaltedHash;
import org.wasabilug.model.Stage;
import org.wasabilug.model.StageName;
import org.wasabilug.model.Workspace;
import org.wasabilug.model.WorkspaceName;
import org.wasabilug.port.VersionedObject;

class TicketCodecTest {
    private static final SaltedHash KEY = new SaltedHash("00".repeat(16), "ab".repeat(32));
    private static final PoolName POOL = new PoolName("encoders");
    private static final EndpointName ENDPOINT = new EndpointName("rennes-1");

    static List<ConfigurationObject> oneOfEachKind() {
        Stage stage = new Stage(new StageName("encode"), POOL, true, List.of());
        return List.of(
                FailureDomain.builder().name(new FailureDomainName("rennes")).build(),
                Pool.builder().name(POOL).build(),
                Endpoint.builder()
                        .name(ENDPOINT)
                        .pool(POOL)
                        .failureDomain(new FailureDomainName("rennes"))
                        .address(URI.create("http://10.0.0.7:8000"))
                        .build(),
                Pipeline.builder()
                        .name(new PipelineName("certificates"))
                        .stages(List.of(stage))
                        .deadline(Duration.ofMillis(2_500))
                        .build(),
                Workspace.builder()
                        .name(new WorkspaceName("dairy"))
                        .key(KEY)
                        .pipelines(Set.of(new PipelineName("certificates")))
                        .build(),
                OperatorAccount.builder().name(new OperatorName("anne")).key(KEY).build(),
                EngineTarget.builder()
                        .endpoint(ENDPOINT)
                        .model("records")
                        .version("4")
                        .adapters(Set.of("b", "a"))
                        .build());
    }

    private static ChangeTicket ticketOf(List<ConfigurationObject> states) {
        List<ObjectChange> changes =
                states.stream()
                        .map(state -> new ObjectChange(state.objectKey(), Optional.of(state)))
                        .toList();
        return new ChangeTicket(17, new OperatorName("anne"), changes);
    }

    private static List<Finding> findingsOf(String text) {
        return ((TicketParse.Rejected) TicketCodec.parse(text)).findings();
    }

    @Test
    void readsBackEveryKindOfObjectThatItWrites() {
        ChangeTicket ticket = ticketOf(oneOfEachKind());

        TicketParse parsed = TicketCodec.parse(TicketCodec.write(ticket));

        assertThat(parsed).isEqualTo(new TicketParse.Parsed(ticket));
    }

    @Test
    void readsBackRemovedObjects() {
        VersionedObject removed =
                new VersionedObject(new ObjectKey(ObjectKind.ENDPOINT, "old"), 9, Optional.empty());

        assertThat(TicketCodec.readVersioned(TicketCodec.writeVersioned(removed)))
                .contains(removed);
    }

    @Test
    void digestDoesNotDependOnTheOrderOfChanges() {
        ChangeTicket ticket = ticketOf(oneOfEachKind());
        ChangeTicket reversed = ticketOf(oneOfEachKind().reversed());
        ChangeTicket other = ticketOf(oneOfEachKind().subList(0, 2));

        assertThat(TicketCodec.digest(reversed)).isEqualTo(TicketCodec.digest(ticket));
        assertThat(TicketCodec.digest(other)).isNotEqualTo(TicketCodec.digest(ticket));
    }

    @Test
    void collectsEveryFindingWithItsPlace() {
        String text =
                """
                {"number": "x", "colour": 1, "changes": [
                  {"kind": "endpoint", "name": "rennes-1", "state": {
                    "pool": "not a name", "failureDomain": "rennes", "coldLimit": 1.5,
                    "concurrencyLimit": 4, "fencing": "sometimes", "leaving": false,
                    "address": "http://10.0.0.7:8000", "weight": 3}},
                  {"kind": "endpoint", "name": "rennes-1", "removed": true},
                  {"kind": "shelf", "name": "x", "removed": true},
                  {"kind": "pool", "name": "p"}]}\
                """;

        assertThat(findingsOf(text))
                .extracting(Finding::place)
                .containsExactlyInAnyOrder(
                        "number",
                        "operator",
                        "colour",
                        "changes[0].state.pool",
                        "changes[0].state.coldLimit",
                        "changes[0].state.fencing",
                        "changes[0].state.weight",
                        "changes[1]",
                        "changes[2].kind",
                        "changes[3].state");
    }

    @Test
    void namesTheLineWhenTheTextIsNotJson() {
        assertThat(findingsOf("{\n\"number\": ,}"))
                .singleElement()
                .satisfies(finding -> assertThat(finding.place()).startsWith("line 2"));
    }

    @Test
    void rejectsTextThatIsNotOneTicketObject() {
        assertThat(List.of("", "[]", "17", "null", "{} {}", "{\"number\":1,\"number\":2}"))
                .allSatisfy(text -> assertThat(findingsOf(text)).isNotEmpty());
    }
}

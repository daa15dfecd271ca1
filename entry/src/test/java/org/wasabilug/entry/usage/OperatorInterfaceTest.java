package org.wasabilug.entry.usage;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.wasabilug.entry.EntryAddresses;
import org.wasabilug.entry.EntryInstance;
import org.wasabilug.entry.fake.FakeEndpoints;
import org.wasabilug.entry.fake.FakeInstance;
import org.wasabilug.entry.fake.HttpCaller;

class OperatorInterfaceTest {
    private static final String TICKET =
            """
            {"number":17,"operator":"anne","changes":[{"kind":"failure-domain","name":"brest",
              "state":{"region":"brittany","state":"taken-out"}}]}
            """;

    private EntryInstance mInstance;
    private EntryAddresses mAddresses;
    private HttpCaller mOperator;

    @BeforeEach
    void startInstance() {
        mInstance = FakeInstance.with(new FakeEndpoints(true)).build();
        mAddresses = mInstance.start();
        mOperator = new HttpCaller(mAddresses.operators());
    }

    @AfterEach
    void closeInstance() {
        mInstance.close();
    }

    @Test
    void acceptsTicketAndShowsItInActiveConfiguration() {
        var accepted = mOperator.post("/v1/tickets", FakeInstance.OPERATOR, TICKET);
        var configuration = mOperator.get("/v1/configuration", FakeInstance.OPERATOR);

        assertThat(accepted.statusCode()).isEqualTo(201);
        assertThat(accepted.body()).contains("\"outcome\":\"ACCEPTED\"", "\"sequence\":1");
        assertThat(configuration.body())
                .contains("{\"kind\":\"failure-domain\",\"name\":\"brest\",\"ticket\":17")
                .contains("\"state\":{\"region\":\"brittany\",\"state\":\"taken-out\"}");
    }

    @Test
    void validatesTicketWithoutSubmittingIt() {
        var checked = mOperator.post("/v1/tickets/check", FakeInstance.OPERATOR, TICKET);
        var configuration = mOperator.get("/v1/configuration", FakeInstance.OPERATOR);

        assertThat(checked.body()).contains("NO_FINDINGS");
        assertThat(configuration.body()).doesNotContain("brest");
    }

    @Test
    void reportsFindingsOfUnreadableTicket() {
        var rejected = mOperator.post("/v1/tickets", FakeInstance.OPERATOR, "[");

        assertThat(rejected.statusCode()).isEqualTo(422);
        assertThat(rejected.body()).contains("INVALID_TICKET", "is not valid JSON");
    }

    @Test
    void refusesTicketOfOtherOperator() {
        var refused =
                mOperator.post(
                        "/v1/tickets", FakeInstance.OPERATOR, TICKET.replace("anne", "paul"));

        assertThat(refused.statusCode()).isEqualTo(403);
    }

    @Test
    void refusesWorkspaceCredentials() {
        var refused = mOperator.get("/v1/configuration", FakeInstance.FRIGOVAL);

        assertThat(refused.statusCode()).isEqualTo(401);
    }

    @Test
    void explainsRequestByItsDecisions() {
        new HttpCaller(mAddresses.callers())
                .post(
                        "/v1/services/ledger/requests",
                        FakeInstance.FRIGOVAL,
                        "{\"input\":\"x\"}",
                        "Idempotency-Key",
                        "transfer-1");

        var explanation =
                mOperator.get("/v1/requests/frigoval:transfer-1/decisions", FakeInstance.OPERATOR);

        assertThat(explanation.body()).contains("\"reason\":\"only candidate\"");
    }

    @Test
    void showsStatusHealthAndMetrics() {
        var status = mOperator.get("/v1/status", FakeInstance.OPERATOR);

        assertThat(status.body())
                .contains("\"name\":\"entry-1\"", "\"configurationAgeMilliseconds\":0");
        assertThat(mOperator.get("/live", FakeInstance.OPERATOR).statusCode()).isEqualTo(200);
        assertThat(mOperator.get("/metrics", FakeInstance.OPERATOR).body())
                .contains("jvm.memory.heap.used");
    }
}

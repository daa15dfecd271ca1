package org.wasabilug.operator.usage;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.wasabilug.operator.ExitCode;
import org.wasabilug.operator.OperatorProgram;

class OperatorCommandTest {
    private static final String CONFIGURATION =
            """
            {"objects":[
              {"kind":"failure-domain","name":"brest","ticket":16,
               "state":{"region":"brittany","state":"in-service"}},
              {"kind":"failure-domain","name":"lorient","ticket":12,"state":null}]}
            """;
    private static final String TICKET =
            """
            {"number":17,"operator":"anne","changes":[{"kind":"failure-domain","name":"brest",
              "state":{"region":"brittany","state":"taken-out"}}]}
            """;

    @TempDir private Path mDirectory;
    private final ByteArrayOutputStream mOutput = new ByteArrayOutputStream();
    private final ByteArrayOutputStream mErrors = new ByteArrayOutputStream();
    private FakeInstance mInstance;

    @BeforeEach
    void startInstance() throws IOException {
        mInstance =
                new FakeInstance()
                        .withResponse("/v1/configuration", 200, CONFIGURATION)
                        .withResponse(
                                "/v1/tickets",
                                201,
                                "{\"number\":17,\"outcome\":\"ACCEPTED\",\"sequence\":9}");
    }

    @AfterEach
    void closeInstance() {
        mInstance.close();
    }

    private ExitCode run(String instances, String... arguments) {
        return new OperatorProgram(
                        new ByteArrayInputStream("new-key\n".getBytes(StandardCharsets.UTF_8)),
                        new PrintStream(mOutput),
                        new PrintStream(mErrors))
                .run(
                        List.of(arguments),
                        Map.of(
                                "WASABILUG_INSTANCES", instances,
                                "WASABILUG_OPERATOR", "anne",
                                "WASABILUG_OPERATOR_KEY", "secret"));
    }

    private String output() {
        return mOutput.toString(StandardCharsets.UTF_8);
    }

    private String errors() {
        return mErrors.toString(StandardCharsets.UTF_8);
    }

    private Path ticketFile(String text) throws IOException {
        return Files.writeString(mDirectory.resolve("ticket.json"), text);
    }

    @Test
    void takesDomainOutOfServiceWithCompleteStateAndNextTicketNumber() {
        ExitCode code = run(mInstance.address(), "take-out", "brest");

        assertThat(code).isEqualTo(ExitCode.DONE);
        assertThat(mInstance.receivedBody("/v1/tickets"))
                .isEqualTo(
                        "{\"number\":17,\"operator\":\"anne\",\"changes\":[{\"kind\":"
                                + "\"failure-domain\",\"name\":\"brest\",\"state\":{\"region\":"
                                + "\"brittany\",\"state\":\"taken-out\"}}]}");
        assertThat(mInstance.lastCredential()).isEqualTo("Bearer operator.anne.secret");
        assertThat(output()).contains("Ticket 17 accepted, sequence 9");
    }

    @Test
    void returnsDomainToServiceUnderGivenTicketNumber() {
        run(mInstance.address(), "bring-back", "brest", "--number", "40");

        assertThat(mInstance.receivedBody("/v1/tickets"))
                .contains("\"number\":40", "\"state\":\"in-service\"");
    }

    @Test
    void refusesToTakeRemovedDomainOutOfService() {
        ExitCode code = run(mInstance.address(), "take-out", "lorient");

        assertThat(code).isEqualTo(ExitCode.REFUSED);
        assertThat(mInstance.receivedBody("/v1/tickets")).isEmpty();
    }

    @Test
    void triesNextInstanceIfFirstIsUnreachable() throws IOException {
        FakeInstance unreachable = new FakeInstance();
        String instances = unreachable.address() + "," + mInstance.address();
        unreachable.close();

        ExitCode code = run(instances, "submit", ticketFile(TICKET).toString());

        assertThat(code).isEqualTo(ExitCode.DONE);
        assertThat(mInstance.receivedBody("/v1/tickets")).isEqualTo(TICKET);
    }

    @Test
    void reportsUnknownOutcomeIfInstanceCannotDetermineIt() throws IOException {
        mInstance.withResponse(
                "/v1/tickets",
                503,
                "{\"code\":\"OUTCOME_UNKNOWN\",\"runState\":\"OUTCOME_UNKNOWN\"}");

        ExitCode code = run(mInstance.address(), "submit", ticketFile(TICKET).toString());

        assertThat(code).isEqualTo(ExitCode.OUTCOME_UNKNOWN);
    }

    @Test
    void reportsUnknownOutcomeIfSecondInstanceIsUnreachable() throws IOException {
        mInstance.withResponse(
                "/v1/tickets",
                503,
                "{\"code\":\"OUTCOME_UNKNOWN\",\"runState\":\"OUTCOME_UNKNOWN\"}");
        FakeInstance unreachable = new FakeInstance();
        String instances = mInstance.address() + "," + unreachable.address();
        unreachable.close();

        ExitCode code = run(instances, "submit", ticketFile(TICKET).toString());

        assertThat(code).isEqualTo(ExitCode.OUTCOME_UNKNOWN);
    }

    @Test
    void sendsNothingIfTicketIsMalformed() throws IOException {
        ExitCode code = run(mInstance.address(), "submit", ticketFile("{").toString());

        assertThat(code).isEqualTo(ExitCode.INVALID_USE);
        assertThat(mInstance.lastCredential()).isEmpty();
    }

    @Test
    void showsStatusOfEveryInstanceIncludingUnreachableOnes() throws IOException {
        mInstance.withResponse(
                "/v1/status",
                200,
                "{\"name\":\"entry-1\",\"ready\":true,\"highestTicket\":17,\"feedSequence\":9,"
                        + "\"configurationAgeMilliseconds\":-1}");
        FakeInstance unreachable = new FakeInstance();
        String instances = mInstance.address() + "," + unreachable.address();
        unreachable.close();

        ExitCode code = run(instances, "status");

        assertThat(code).isEqualTo(ExitCode.DONE);
        assertThat(output()).contains("entry-1", "never read", "unreachable");
    }

    @Test
    void printsJsonIfRequested() {
        run(mInstance.address(), "show", "--json");

        assertThat(output()).startsWith("{\"objects\":[{\"kind\":\"failure-domain\"");
    }

    @Test
    void explainsRequestWithColonInIdentifier() {
        mInstance.withResponse(
                "/v1/requests/frigoval%3At-1/decisions",
                200, "{\"decisions\":[{\"kind\":\"route\",\"chosen\":\"rennes-1\"}]}");

        run(mInstance.address(), "explain", "frigoval:t-1");

        assertThat(output()).contains("rennes-1");
    }

    @Test
    void hashesKeyFromStandardInputWithoutPrintingIt() {
        ExitCode code = run(mInstance.address(), "hash-key");

        assertThat(code).isEqualTo(ExitCode.DONE);
        assertThat(output()).contains("\"salt\":", "\"hash\":").doesNotContain("new-key");
    }

    @Test
    void rejectsInstanceListWithoutAddresses() {
        ExitCode code = run(" , ", "status");

        assertThat(code).isEqualTo(ExitCode.INVALID_USE);
    }

    @Test
    void reportsAllCommandLineErrorsTogether() {
        ExitCode code = run("ftp://x", "take-out", "--operator", "a b", "--number", "0");

        assertThat(code).isEqualTo(ExitCode.INVALID_USE);
        assertThat(errors())
                .contains(
                        "--number: must be 1 or more",
                        "take-out: takes one argument: DOMAIN",
                        "WASABILUG_INSTANCES: 'ftp://x'",
                        "--operator: must be");
    }
}

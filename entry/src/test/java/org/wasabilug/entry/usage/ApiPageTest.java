package org.wasabilug.entry.usage;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.wasabilug.entry.EntryAddresses;
import org.wasabilug.entry.EntryInstance;
import org.wasabilug.entry.fake.FakeEndpoints;
import org.wasabilug.entry.fake.FakeInstance;
import org.wasabilug.entry.fake.HttpCaller;
import org.wasabilug.error.ErrorCode;

class ApiPageTest {
    private static final Path PAGE = Path.of("../docs/API.md");
    private static final Pattern HEADER = Pattern.compile("-H '([^:]+): ([^']*)'");
    private static final Pattern BODY = Pattern.compile("-d '([^']*)'");
    private static final Pattern TARGET = Pattern.compile("\\$(CALLERS|OPERATORS)(\\S*)");

    private EntryInstance mInstance;
    private EntryAddresses mAddresses;

    @BeforeEach
    void startInstance() {
        mInstance = FakeInstance.with(new FakeEndpoints(true)).build();
        mAddresses = mInstance.start();
    }

    @AfterEach
    void closeInstance() {
        mInstance.close();
    }

    @Test
    void answersEveryRequestShownOnPage() throws IOException {
        List<String> commands =
                Files.readAllLines(PAGE).stream().filter(line -> line.startsWith("curl ")).toList();

        assertThat(commands).hasSizeGreaterThan(10);
        assertThat(commands)
                .allSatisfy(
                        command ->
                                assertThat(send(command).statusCode()).as(command).isLessThan(300));
    }

    @Test
    void listsEveryRefusalCode() throws IOException {
        String page = Files.readString(PAGE);

        assertThat(ErrorCode.values())
                .filteredOn(code -> !code.name().equals("INVALID_SETTINGS"))
                .allSatisfy(code -> assertThat(page).contains("`" + code + "`"));
    }

    private HttpResponse<String> send(String command) {
        Matcher target = TARGET.matcher(command);
        assertThat(target.find()).as(command).isTrue();
        URI base =
                target.group(1).equals("CALLERS") ? mAddresses.callers() : mAddresses.operators();
        HttpRequest.Builder request = HttpRequest.newBuilder(base.resolve(target.group(2)));
        HEADER.matcher(command)
                .results()
                .forEach(header -> request.header(header.group(1), header.group(2)));
        Matcher body = BODY.matcher(command);
        if (body.find()) {
            request.POST(BodyPublishers.ofString(body.group(1)));
        }
        return new HttpCaller(base).send(request.build());
    }
}

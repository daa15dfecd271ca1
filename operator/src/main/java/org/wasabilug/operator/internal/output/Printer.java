package org.wasabilug.operator.internal.output;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.PrintStream;
import java.util.List;
import org.wasabilug.model.Finding;
import org.wasabilug.operator.internal.client.Reply;

/** Prints results and reasons for people, or JSON for programs. */
public final class Printer {
    private final PrintStream mOutput;
    private final PrintStream mErrors;
    private final boolean mJson;

    /**
     * Creates the printer.
     *
     * @param output takes results
     * @param errors takes reasons
     * @param json true where programs read the output
     */
    public Printer(PrintStream output, PrintStream errors, boolean json) {
        mOutput = output;
        mErrors = errors;
        mJson = json;
    }

    /**
     * Prints a result.
     *
     * @param body JSON for programs
     * @param table the same for people
     */
    public void result(JsonNode body, TextTable table) {
        if (mJson) {
            mOutput.println(body);
        } else {
            table.lines().forEach(mOutput::println);
        }
    }

    /**
     * Prints a result of one line.
     *
     * @param body JSON for programs
     * @param sentence the same for people
     */
    public void result(JsonNode body, String sentence) {
        mOutput.println(mJson ? body.toString() : sentence);
    }

    /**
     * Prints findings.
     *
     * @param findings each with its place
     */
    public void findings(List<Finding> findings) {
        findings.forEach(mErrors::println);
    }

    /**
     * Prints why there is no result.
     *
     * @param sentence what happened, and what to do next
     */
    public void failure(String sentence) {
        mErrors.println(sentence);
    }

    /**
     * Prints a refusal of an instance.
     *
     * @param refused the refusal
     */
    public void refusal(Reply.Refused refused) {
        if (mJson) {
            mOutput.println(refused.problem());
        } else {
            mErrors.println(
                    refused.instance()
                            + " refused it ("
                            + refused.code()
                            + "). "
                            + refused.problem().path("detail").asText());
        }
    }
}

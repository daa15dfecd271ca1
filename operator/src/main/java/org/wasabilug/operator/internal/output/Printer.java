package org.wasabilug.operator.internal.output;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.PrintStream;
import java.util.List;
import org.wasabilug.model.Finding;
import org.wasabilug.operator.internal.client.Reply;

/** Prints results and errors as text, or as JSON if requested. */
public final class Printer {
    private final PrintStream mOutput;
    private final PrintStream mErrors;
    private final boolean mJson;

    /**
     * Creates the printer.
     *
     * @param output receives results
     * @param errors receives error messages
     * @param json true to print results and refusals as JSON
     */
    public Printer(PrintStream output, PrintStream errors, boolean json) {
        mOutput = output;
        mErrors = errors;
        mJson = json;
    }

    /**
     * Prints a result.
     *
     * @param body the result as JSON
     * @param table the result as a table
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
     * @param body the result as JSON
     * @param sentence the result as a sentence
     */
    public void result(JsonNode body, String sentence) {
        mOutput.println(mJson ? body.toString() : sentence);
    }

    /**
     * Prints validation findings.
     *
     * @param findings each names the flag, variable or field that it concerns
     */
    public void findings(List<Finding> findings) {
        findings.forEach(mErrors::println);
    }

    /**
     * Prints an error message.
     *
     * @param sentence what failed and how to proceed
     */
    public void failure(String sentence) {
        mErrors.println(sentence);
    }

    /**
     * Prints why an instance refused a request.
     *
     * @param refused the refusal
     */
    public void refusal(Reply.Refused refused) {
        if (mJson) {
            mOutput.println(refused.problem());
        } else {
            mErrors.println(
                    refused.instance()
                            + " refused the request ("
                            + refused.code()
                            + "). "
                            + refused.problem().path("detail").asText());
        }
    }
}

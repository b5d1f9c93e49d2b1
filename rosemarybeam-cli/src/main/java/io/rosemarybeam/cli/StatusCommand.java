package io.rosemarybeam.cli;

import java.time.Duration;

import com.fasterxml.jackson.databind.JsonNode;
import io.rosemarybeam.common.error.ConfigurationException;
import io.rosemarybeam.common.error.ControlException;
import io.rosemarybeam.common.error.ErrorCode;
import io.rosemarybeam.common.wire.ControlReply.ConfigurationReply;
import io.rosemarybeam.common.wire.ControlReply.ConfigurationText;
import io.rosemarybeam.common.wire.ControlReply.StatusReply;
import io.rosemarybeam.common.wire.Message;
import io.rosemarybeam.common.wire.OperatorRequest.ReadConfiguration;
import io.rosemarybeam.common.wire.OperatorRequest.ReadStatus;
import org.kohsuke.args4j.Option;

/** Shows the state of the deployment. Fields are set by args4j. Confined to the main thread. */
final class StatusCommand extends ControlCommand {
    @Option(name = "--text", usage = "print the accepted operator text instead, exactly as it was applied")
    private boolean text;

    @Override
    String description() {
        return "Shows leader, control hosts, entry hosts with the revision they act on, and endpoints. "
                + "With --text, prints the accepted operator text, ready to be edited.";
    }

    @Override
    ExitCode run(Console console) {
        try (ControlClient client = client()) {
            if (text) {
                showText(console, client.ask(ReadConfiguration::new, Duration.ZERO));
            } else {
                showStatus(console, client.ask(ReadStatus::new, Duration.ZERO));
            }
            return ExitCode.SUCCESS;
        }
    }

    private void showText(Console console, Message reply) {
        if (!(reply instanceof ConfigurationReply configurationReply)) {
            throw new ControlException(ErrorCode.INTERNAL, "unexpected answer " + reply);
        }
        ConfigurationText accepted = configurationReply
                .configuration()
                .orElseThrow(() -> new ConfigurationException(
                        ErrorCode.CONFIGURATION_MISSING, "no configuration has been accepted yet"));
        if (json()) {
            console.printJson(accepted);
        } else {
            console.printText(accepted.text());
        }
    }

    private void showStatus(Console console, Message reply) {
        if (!(reply instanceof StatusReply status)) {
            throw new ControlException(ErrorCode.INTERNAL, "unexpected answer " + reply);
        }
        JsonNode tree = Console.parseJson(status.json());
        if (json()) {
            console.printJson(tree);
        } else {
            console.printText(PlainTextFormatter.format(tree));
        }
    }
}

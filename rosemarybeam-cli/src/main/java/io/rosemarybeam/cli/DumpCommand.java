package io.rosemarybeam.cli;

import java.time.Duration;

import io.rosemarybeam.common.error.ControlException;
import io.rosemarybeam.common.error.ErrorCode;
import io.rosemarybeam.common.wire.CommonReply.DumpReply;
import io.rosemarybeam.common.wire.Message;
import io.rosemarybeam.common.wire.OperatorRequest.DumpRequest;
import org.kohsuke.args4j.Argument;

/** Prints the state of one process. Fields are set by args4j. Confined to the main thread. */
final class DumpCommand extends RemoteCommand {
    @Argument(
            metaVar = "HOST_ADDRESS",
            required = true,
            usage = "protocol address of a control host, or peer address of an entry host")
    private String address;

    @Override
    String description() {
        return "Prints the state of one process as JSON, whether it leads or not.";
    }

    @Override
    ExitCode run(Console console) {
        try (ControlClient client = client(addresses("HOST_ADDRESS", address))) {
            Message reply = client.ask(DumpRequest::new, Duration.ZERO);
            if (!(reply instanceof DumpReply dump)) {
                throw new ControlException(ErrorCode.INTERNAL, "unexpected answer " + reply);
            }
            console.printJson(Console.parseJson(dump.json()));
            return ExitCode.SUCCESS;
        }
    }
}

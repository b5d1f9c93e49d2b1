package io.rosemarybeam.cli;

import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.OptionDef;
import org.kohsuke.args4j.spi.Setter;
import org.kohsuke.args4j.spi.SubCommand;
import org.kohsuke.args4j.spi.SubCommandHandler;

/**
 * Parses the arguments of a command with the parser properties of {@link CommandLine}, which do not expand {@code @file}.
 * Public because args4j creates it by reflection.
 */
public final class CommandHandler extends SubCommandHandler {
    /**
     * Creates the handler.
     *
     * @param parser the parser of the options before the command
     * @param option the definition of the command argument
     * @param setter sets the field that holds the command
     */
    public CommandHandler(CmdLineParser parser, OptionDef option, Setter<Object> setter) {
        super(parser, option, setter);
    }

    @Override
    protected CmdLineParser configureParser(Object command, SubCommand definition) {
        return new CmdLineParser(command, CommandLine.PROPERTIES);
    }

    @Override
    protected Object instantiate(SubCommand definition) {
        try {
            return definition.impl().getDeclaredConstructor().newInstance();
        } catch (ReflectiveOperationException failure) {
            throw new IllegalStateException("command " + definition.name() + " cannot be created", failure);
        }
    }
}

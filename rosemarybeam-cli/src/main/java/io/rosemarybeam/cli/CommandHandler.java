package io.rosemarybeam.cli;

import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.OptionDef;
import org.kohsuke.args4j.spi.Setter;
import org.kohsuke.args4j.spi.SubCommand;
import org.kohsuke.args4j.spi.SubCommandHandler;

/** Parses the arguments of a command without reading arguments from files. Created by args4j, hence public. */
public final class CommandHandler extends SubCommandHandler {
    /**
     * Creates the handler.
     *
     * @param parser the parser of the program
     * @param option the argument
     * @param setter stores the command
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

package io.heatherloft.peer.ledger;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.Parser;
import io.heatherloft.domain.Bytes;

/**
 * Parses stored messages. Stateless and safe for use by several threads.
 */
final class StoredMessages {
    private StoredMessages() {}

    static <T> T parse(Parser<T> parser, Bytes value) {
        try {
            return parser.parseFrom(value.toArray());
        } catch (InvalidProtocolBufferException exception) {
            throw new IllegalStateException("a stored ledger value is not readable", exception);
        }
    }
}

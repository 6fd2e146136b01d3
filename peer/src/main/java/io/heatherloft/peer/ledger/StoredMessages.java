package io.heatherloft.peer.ledger;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.Parser;
import io.heatherloft.domain.Bytes;

/**
 * Parses protobuf messages read from the store. Stateless and thread-safe.
 */
final class StoredMessages {
    private StoredMessages() {}

    static <T> T parse(Parser<T> parser, Bytes value) {
        try {
            return parser.parseFrom(value.toArray());
        } catch (InvalidProtocolBufferException exception) {
            throw new IllegalStateException("stored ledger value is not a valid protobuf message", exception);
        }
    }
}

package consensus

import (
	"encoding/binary"
	"encoding/json"

	"google.golang.org/protobuf/proto"
)

// Kinds of records in the file: the first byte of each. They are stored, so they never change.
const (
	kindIdentity   = 'I' // identity in JSON
	kindPrepared   = 'P' // epoch as a uvarint, then the folder of the proposer
	kindAccepted   = 'A' // View
	kindChosen     = 'C' // View
	kindWrite      = 'W' // WriteRequest
	kindStateEpoch = 'M' // epoch of the state, as a uvarint
)

// encodeIdentity encodes the record of an identity.
func encodeIdentity(id identity) []byte {
	encoded, _ := json.Marshal(id)
	return append([]byte{kindIdentity}, encoded...)
}

// encodePrepared encodes the record of a prepared epoch and its proposer.
func encodePrepared(epoch uint64, to string) []byte {
	return append(binary.AppendUvarint([]byte{kindPrepared}, epoch), to...)
}

// encodeStateEpoch encodes the record of the epoch that the state belongs to.
func encodeStateEpoch(epoch uint64) []byte {
	return binary.AppendUvarint([]byte{kindStateEpoch}, epoch)
}

// encodeMessage encodes a record of a kind whose body is a message.
func encodeMessage(kind byte, message proto.Message) []byte {
	encoded, err := proto.MarshalOptions{}.MarshalAppend([]byte{kind}, message)
	if err != nil {
		panic(err) // only possible for a string that is not UTF-8
	}
	return encoded
}

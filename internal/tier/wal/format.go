package wal

import (
	"bufio"
	"encoding/binary"
	"errors"
	"hash/crc32"
	"io"
)

// The format of a file: the header, then records. A record is its length and its checksum, 4 bytes each in little endian, and its
// bytes. The checksum, CRC-32C, covers the length and the bytes.
const (
	fileHeader       = "yardlog\x01" // magic and version; stored, so it never changes
	recordHeaderSize = 8
)

var checksumTable = crc32.MakeTable(crc32.Castagnoli)

// appendRecord appends a record in its stored form.
func appendRecord(to, record []byte) []byte {
	var recordHeader [recordHeaderSize]byte
	binary.LittleEndian.PutUint32(recordHeader[:4], uint32(len(record)))
	sum := crc32.Update(crc32.Checksum(recordHeader[:4], checksumTable), checksumTable, record)
	binary.LittleEndian.PutUint32(recordHeader[4:], sum)
	return append(append(to, recordHeader[:]...), record...)
}

// readHeader reports whether the header is complete. A file of exactly the size of a header with another magic was never
// synced, so its header is not complete. Any other mismatch is an error of type Foreign.
func readHeader(handle Handle, total int64) (complete bool, err error) {
	if total < int64(len(fileHeader)) {
		return false, nil
	}
	var got [len(fileHeader)]byte
	if _, err := handle.ReadAt(got[:], 0); err != nil && !errors.Is(err, io.EOF) {
		return false, IO.Wrap(err, "read header")
	}
	switch {
	case string(got[:]) == fileHeader:
		return true, nil
	case total == int64(len(fileHeader)) && string(got[:len(got)-1]) != fileHeader[:len(fileHeader)-1]:
		return false, nil
	}
	return false, Foreign.New("header is %q, want %q", got[:], fileHeader)
}

// readRecords calls replay with each complete record and returns the offset at which they end: that of the first record that is
// torn or damaged, or the end of the file.
func readRecords(handle Handle, total int64, replay func([]byte) error) (end int64, err error) {
	end = int64(len(fileHeader))
	reader := bufio.NewReaderSize(io.NewSectionReader(handle, end, total-end), 64<<10)
	var recordHeader [recordHeaderSize]byte
	for total-end >= recordHeaderSize {
		if _, err := io.ReadFull(reader, recordHeader[:]); err != nil {
			return end, IO.Wrap(err, "read at %d", end)
		}
		length := int64(binary.LittleEndian.Uint32(recordHeader[:4]))
		if length > MaxRecord || length > total-end-recordHeaderSize {
			return end, nil
		}
		record := make([]byte, length)
		if _, err := io.ReadFull(reader, record); err != nil {
			return end, IO.Wrap(err, "read at %d", end)
		}
		sum := crc32.Update(crc32.Checksum(recordHeader[:4], checksumTable), checksumTable, record)
		if sum != binary.LittleEndian.Uint32(recordHeader[4:]) {
			return end, nil
		}
		if replay != nil {
			if err := replay(record); err != nil {
				return end, err
			}
		}
		end += recordHeaderSize + length
	}
	return end, nil
}

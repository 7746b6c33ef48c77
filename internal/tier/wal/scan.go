package wal

import (
	"bufio"
	"encoding/binary"
	"hash/crc32"
	"io"
)

// readHeader reports whether the header is whole. A file that has just the size of a header but another content was never
// synced, so its header is not whole; a longer one is an error of type Foreign.
func readHeader(handle Handle, total int64) (whole bool, err error) {
	if total < int64(len(fileHeader)) {
		return false, nil
	}
	var got [len(fileHeader)]byte
	if _, err := handle.ReadAt(got[:], 0); err != nil && err != io.EOF {
		return false, IO.Wrap(err, "read header")
	}
	switch {
	case string(got[:]) == fileHeader:
		return true, nil
	case total == int64(len(fileHeader)) && string(got[:len(got)-1]) != fileHeader[:len(fileHeader)-1]:
		return false, nil
	}
	return false, Foreign.New("header %q, not %q", got[:], fileHeader)
}

// readRecords calls replay with each whole record and returns the offset at which they end: that of the first record that is
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

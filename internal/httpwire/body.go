package httpwire

import (
	"bufio"
	"io"
)

// Sizes of the pieces in which a body of unknown length is read. Most such bodies are short.
const (
	firstPieceBytes = 4 << 10
	maxPieceBytes   = 64 << 10
)

// bodyReader reads a body whose length is not known in advance. It reserves memory before it allocates any.
type bodyReader struct {
	in         *bufio.Reader
	maxBytes   int
	reserve    func(bytes int) bool
	pieces     [][]byte
	pieceBytes int // capacity of the last piece
	size       int // bytes in all pieces
}

// space returns free space for the next bytes of the body, in the last piece or in a new one.
func (b *bodyReader) space() ([]byte, error) {
	if n := len(b.pieces); n > 0 && len(b.pieces[n-1]) < cap(b.pieces[n-1]) {
		last := b.pieces[n-1]
		return last[len(last):cap(last)], nil
	}
	b.pieceBytes = min(max(firstPieceBytes, 2*b.pieceBytes), maxPieceBytes)
	if !b.reserve(b.pieceBytes) {
		return nil, ErrTooLarge
	}
	piece := make([]byte, 0, b.pieceBytes)
	b.pieces = append(b.pieces, piece)
	return piece[:b.pieceBytes], nil
}

// read reads into free space, at most n bytes, and returns how many bytes it read.
func (b *bodyReader) read(n int) (int, error) {
	space, err := b.space()
	if err != nil {
		return 0, err
	}
	got, err := b.in.Read(space[:min(n, len(space))])
	last := len(b.pieces) - 1
	b.pieces[last] = b.pieces[last][:len(b.pieces[last])+got]
	b.size += got
	return got, err
}

// readExactly reads the next n bytes of the body.
func (b *bodyReader) readExactly(n int) error {
	if b.size+n > b.maxBytes {
		return ErrTooLarge
	}
	for n > 0 {
		got, err := b.read(n)
		n -= got
		if err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// readToEnd reads the body to the end of the connection.
func (b *bodyReader) readToEnd() error {
	for {
		_, err := b.read(maxPieceBytes)
		switch {
		case b.size > b.maxBytes:
			return ErrTooLarge
		case err == io.EOF:
			return nil
		case err != nil:
			return err
		}
	}
}

// join returns the whole body.
func (b *bodyReader) join() ([]byte, error) {
	switch len(b.pieces) {
	case 0:
		return nil, nil
	case 1:
		return b.pieces[0], nil
	}
	if !b.reserve(b.size) {
		return nil, ErrTooLarge
	}
	whole := make([]byte, 0, b.size)
	for _, piece := range b.pieces {
		whole = append(whole, piece...)
	}
	return whole, nil
}

// Package wire holds the types that balancers and agents exchange in
// datagrams. They are generated from the schemas beside them; the generated code is
// committed, so that a build needs no generator.
//
// # Usage
//
// Code on a packet's path uses the generated VT methods, which use no
// reflection: SizeVT, MarshalToSizedBufferVT and UnmarshalVTUnsafe. The last
// one keeps references into the buffer that it reads, so the buffer must stay
// untouched for as long as the message is used.
//
// To change the schema, edit the schema and run
//
//	go generate ./pkg/wire
//
// with protoc on the path.
package wire

//go:generate sh -c "cd ../.. && protoc --proto_path=. --go_out=. --go_opt=paths=source_relative --go-vtproto_out=. --go-vtproto_opt=paths=source_relative,features=marshal+unmarshal+unmarshal_unsafe+size pkg/wire/envelope.proto pkg/wire/stream.proto"

//go:generate sh -c "cd ../.. && protoc --proto_path=. --go_out=. --go_opt=paths=source_relative pkg/wire/control.proto"
